package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/fixedseed"
	"github.com/pistachioport/pistachioport/internal/lease"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	fixedseed.Main(m, fixedseed.Default, 3000)
}

// pair is a holder and a granter on two VMs. The rates of their clocks differ by
// less than the drift allowance; the wall clocks are stepped and the VMs suspended.
type pair struct {
	holderClock     *clock.Manual
	granterClock    *clock.Manual
	holderClockRate float64 // relative to granterClock

	holder  *lease.Holder
	granter *lease.Granter

	requests        []clock.Reading // send times of renewals; may be received repeatedly and in any order
	answers         []clock.Reading // send times of answered renewals; likewise
	expiryCommitted bool
}

func (p *pair) send(*rapid.T) {
	p.requests = append(p.requests, p.holder.SendTime())
}

func (p *pair) receive(t *rapid.T) {
	if len(p.requests) == 0 || p.expiryCommitted {
		t.Skip("no renewal to answer")
	}
	i := rapid.IntRange(0, len(p.requests)-1).Draw(t, "request")
	if p.granter.GrantRenewal("h") {
		p.answers = append(p.answers, p.requests[i])
	}
}

func (p *pair) extend(t *rapid.T) {
	if len(p.answers) == 0 {
		t.Skip("no renewal was answered")
	}
	i := rapid.IntRange(0, len(p.answers)-1).Draw(t, "answer")
	p.holder.Extend(p.answers[i], length)
}

// advance lets time pass on both VMs.
func (p *pair) advance(t *rapid.T) {
	elapsed := drawDuration(t)
	p.granterClock.Advance(elapsed)
	p.holderClock.Advance(time.Duration(float64(elapsed) * p.holderClockRate))
}

// suspendHolder suspends the holder's VM while the granter's keeps running.
func (p *pair) suspendHolder(t *rapid.T) {
	elapsed := drawDuration(t)
	p.granterClock.Advance(elapsed)
	p.holderClock.Suspend(time.Duration(float64(elapsed) * p.holderClockRate))
}

// suspendGranter suspends the granter's VM while the holder's keeps running.
func (p *pair) suspendGranter(t *rapid.T) {
	elapsed := drawDuration(t)
	p.granterClock.Suspend(elapsed)
	p.holderClock.Advance(time.Duration(float64(elapsed) * p.holderClockRate))
}

func (p *pair) stepWalls(t *rapid.T) {
	steps := rapid.SampledFrom([]time.Duration{-time.Hour, -time.Second, 0, 100 * time.Millisecond, time.Hour})
	p.granterClock.StepWall(steps.Draw(t, "granter"))
	p.holderClock.StepWall(steps.Draw(t, "holder"))
}

// drawDuration draws mostly durations around the length of a lease.
func drawDuration(t *rapid.T) time.Duration {
	const expiryWait = length + length/20 // with the drift allowance
	return rapid.SampledFrom([]time.Duration{
		time.Millisecond, time.Second, length - time.Second, length - 1, length, expiryWait - 1, expiryWait,
	}).Draw(t, "time")
}

func (p *pair) expire(t *rapid.T) {
	if p.expiryCommitted || !p.granter.BeginExpiry("h") {
		return
	}
	p.expiryCommitted = rapid.Bool().Draw(t, "committed")
	p.granter.EndExpiry("h")
}

// elect replaces the leader. For simplicity the new one is on the same VM.
func (p *pair) elect(*rapid.T) {
	p.granter = lease.NewGranter(p.granterClock, length, drift)
}

func (p *pair) check(t *rapid.T) {
	if p.expiryCommitted && p.holder.Valid() {
		t.Fatal("the holder's lease is still valid after its expiry was committed")
	}
}

func TestNoLeaseRunsAfterItsExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		p := &pair{
			holderClock:     clock.NewManual(start),
			granterClock:    clock.NewManual(start),
			holderClockRate: rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
		}
		p.holder = lease.NewHolder(p.holderClock)
		p.elect(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":            p.send,
			"receive":         p.receive,
			"extend":          p.extend,
			"pass":            p.advance,
			"suspend holder":  p.suspendHolder,
			"suspend granter": p.suspendGranter,
			"step walls":      p.stepWalls,
			"expire":          p.expire,
			"elect":           p.elect,
			"":                p.check,
		})
	})
}
