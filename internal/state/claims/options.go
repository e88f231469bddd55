package claims

import "time"

// Default values of Options.
const (
	DefaultRetention           = time.Hour
	DefaultGeneratedRetention  = time.Minute
	DefaultMaxClaims           = 400_000
	DefaultMaxAnswerBytes      = 16 << 10
	DefaultMaxTotalAnswerBytes = 64 << 20
)

// Options sets the limits of a Table. All replicas must use the same values. A
// zero field means its default.
type Options struct {
	Retention           time.Duration // how long a key is kept after its last change
	GeneratedRetention  time.Duration // the same for a settled key that an entry generated
	MaxClaims           int           // maximum number of keys; further takes are refused
	MaxAnswerBytes      int           // maximum size of a kept answer's header and body
	MaxTotalAnswerBytes int           // maximum size of all kept answers together
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
