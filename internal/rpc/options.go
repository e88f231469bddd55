package rpc

import "time"

// Defaults of Options.
const (
	defaultAttemptTimeout = 1500 * time.Millisecond
	defaultRetryPause     = 50 * time.Millisecond
	defaultMaxResponse    = 64 << 20 // bytes
)

// Options sets a Client up. Zero values mean the defaults.
type Options struct {
	Addresses      []string      // host:port of the control processes, in any order
	AttemptTimeout time.Duration // of one attempt at one address
	RetryPause     time.Duration // between two rounds over the addresses
	MaxResponse    int64         // bytes
}

func (o Options) withDefaults() Options {
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = defaultAttemptTimeout
	}
	if o.RetryPause == 0 {
		o.RetryPause = defaultRetryPause
	}
	if o.MaxResponse == 0 {
		o.MaxResponse = defaultMaxResponse
	}
	return o
}
