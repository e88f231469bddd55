package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeaseDurationFollowsMaxLease(t *testing.T) {
	for _, c := range []struct {
		name           string
		maxLease, want time.Duration
	}{
		{"half of the maximum outlasts a restart", 10 * time.Second, 5 * time.Second},
		{"half of the maximum is too short for a restart", 6 * time.Second, restartSafeLease},
		{"at most three quarters of the maximum", 2 * time.Second, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Timing{MaxLease: c.maxLease}.leaseDuration(), c.want)
		})
	}
}
