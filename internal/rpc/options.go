package rpc

import "time"

// Defaults of Options.
const (
	defaultAttemptTimeout = 1500 * time.Millisecond
	defaultDialTimeout    = 500 * time.Millisecond
	defaultCallTimeout    = 15 * time.Second
	defaultRetryPause     = 50 * time.Millisecond
	defaultMaxResponse    = 64 << 20 // bytes
)

// maxPauseDoublings bounds how much longer than RetryPause a pause gets.
const maxPauseDoublings = 2

// Options sets a Client up. Zero values mean the defaults.
type Options struct {
	Addresses        []string      // host:port of the control processes, in any order
	AttemptTimeout   time.Duration // of one attempt at one address
	DialTimeout      time.Duration // of one connection
	CallTimeout      time.Duration // of a call whose context has no deadline
	RetryBackoff     time.Duration // after the first round over the addresses
	MaxResponseBytes int64         // bytes

	// DialOverrides gives the address to dial for a control process that this process
	// does not reach at its advertised address.
	DialOverrides map[string]string
}

// dialAddress returns where to dial an advertised address.
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
		o.RetryBackoff = defaultRetryPause
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponse
	}
	return o
}
