package rpc

import "time"

// Defaults of Options.
const (
	defaultAttemptTimeout   = 1500 * time.Millisecond
	defaultDialTimeout      = 500 * time.Millisecond
	defaultCallTimeout      = 15 * time.Second
	defaultRetryBackoff     = 50 * time.Millisecond
	defaultMaxResponseBytes = 64 << 20 // bytes
)

// maxBackoffDoublings limits the backoff to RetryBackoff << maxBackoffDoublings.
const maxBackoffDoublings = 2

// pollBackoffDoublings gives the pause after a poll, RetryBackoff << pollBackoffDoublings.
const pollBackoffDoublings = 1

// Options configures a Client. Zero values mean the defaults.
type Options struct {
	Addresses        []string      // host:port of the control processes, in any order
	AttemptTimeout   time.Duration // how long an attempt at one address may take before others are asked as well
	DialTimeout      time.Duration // of setting up one connection
	CallTimeout      time.Duration // of a call whose context has no deadline
	RetryBackoff     time.Duration // wait after the first round over the addresses; doubled after each later one, up to a limit
	MaxResponseBytes int64         // longest response body

	// DialOverrides maps advertised addresses of control processes to the addresses to
	// dial, where this process can't reach the advertised ones.
	DialOverrides map[string]string
}

// dialAddress returns the address to dial for an advertised address.
func (o Options) dialAddress(address string) string {
	if other, ok := o.DialOverrides[address]; ok {
		return other
	}
	return address
}

func (o Options) withDefaults() Options {
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = defaultAttemptTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.RetryBackoff == 0 {
		o.RetryBackoff = defaultRetryBackoff
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}
