package claims

import "time"

// Defaults of Options.
const (
	DefaultRetention           = time.Hour
	DefaultGeneratedRetention  = time.Minute
	DefaultMaxClaims           = 400_000
	DefaultMaxAnswerBytes      = 16 << 10 // bytes
	DefaultMaxTotalAnswerBytes = 64 << 20 // bytes
)

// Options bounds a Table. All replicas must use the same values. Zero values
// mean the defaults.
type Options struct {
	Retention           time.Duration // of a caller's key, from its last change
	GeneratedRetention  time.Duration // of a settled key that an entry made
	MaxClaims           int           // keys held; further takes are refused
	MaxAnswerBytes      int           // bytes of one kept answer's header and body
	MaxTotalAnswerBytes int           // bytes of all kept answers
}

func (o Options) withDefaults() Options {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.GeneratedRetention == 0 {
		o.GeneratedRetention = DefaultGeneratedRetention
	}
	if o.MaxClaims == 0 {
		o.MaxClaims = DefaultMaxClaims
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.MaxTotalAnswerBytes == 0 {
		o.MaxTotalAnswerBytes = DefaultMaxTotalAnswerBytes
	}
	return o
}
