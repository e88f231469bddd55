package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAdvisorsArePickedBySoonestAnswer(t *testing.T) {
	now := time.Now()
	const call = 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		joined   []string
		calls    int // made before, all alike
		patience time.Duration
		address  string
		ok       bool
	}{
		{"no entry is known: this VM asks", nil, 0, 0, "", true},
		{"no entry is known, and this VM's calls wait", nil, 1, 0, "", false},
		{"the same, with patience", nil, 1, call, "", true},
		{"the first entry is free", []string{"a", "b"}, 0, 0, "a", true},
		{"the first is busy", []string{"a", "b"}, 1, 0, "b", true},
		{"all are busy", []string{"a", "b"}, 2, 0, "", false},
		{"all are busy, and the call can wait", []string{"a", "b"}, 2, call, "a", true},
		{"all are busy for too long", []string{"a", "b"}, 4, call, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newAdvisors()
			for _, address := range c.joined {
				a.joined(address, now)
			}
			for range c.calls {
				_, ok := a.pick(now, call, time.Hour)
				is.True(ok)
			}
			address, ok := a.pick(now, call, c.patience)
			is.Equal(address, c.address)
			is.Equal(ok, c.ok)
		})
	}
}
