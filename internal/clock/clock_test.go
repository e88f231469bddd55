package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/clock"
)

func TestElapsedTimeBounds(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name                   string
		change                 func(m *clock.Manual)
		maxElapsed, minElapsed time.Duration
	}{
		{"time passes", func(m *clock.Manual) { m.Advance(second) }, second, second},
		{"the VM is suspended", func(m *clock.Manual) { m.Suspend(second) }, second, 0},
		{"the wall clock is set forward", func(m *clock.Manual) { m.StepWall(second) }, second, 0},
		{"the wall clock is set back", func(m *clock.Manual) { m.Advance(second); m.StepWall(-time.Hour) }, second, second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := clock.NewManual(time.Unix(1_700_000_000, 0))
			before := m.Read()
			c.change(m)
			is.Equal(m.Read().MaxElapsedSince(before), c.maxElapsed)
			is.Equal(m.Read().MinElapsedSince(before), c.minElapsed)
		})
	}
}

func TestSystemClocksDoNotGoBack(t *testing.T) {
	is := is.New(t)
	last := clock.System{}.Read()
	for range 1000 {
		now := clock.System{}.Read()
		is.True(now.Monotonic >= last.Monotonic)
		is.True(now.Boot >= last.Boot)
		last = now
	}
	is.True(last.Time().Year() > 2000)
}
