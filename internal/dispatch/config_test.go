package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeaseFollowsTheLongestThatWorkersKeep(t *testing.T) {
	for _, c := range []struct {
		name        string
		longest, is time.Duration
	}{
		{"half of it outlasts a restart", 10 * time.Second, 5 * time.Second},
		{"half of it would not: long enough for a restart", 6 * time.Second, restartSafeLease},
		{"three quarters at most", 2 * time.Second, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Timing{MaxLease: c.longest}.leaseDuration(), c.is)
		})
	}
}
