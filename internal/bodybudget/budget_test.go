package bodybudget

import (
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// newTestBudget returns a budget of 1000 bytes with two portions that reserve 300 each.
func newTestBudget() (b *Budget, first, second *Portion) {
	registry := metrics.NewRegistry()
	b = New(1000, slog.New(slog.DiscardHandler), registry)
	return b, b.NewPortion("first", 0.3, registry), b.NewPortion("second", 0.3, registry)
}

// holdOf returns a hold of n bytes that gives them back when it is ended.
func holdOf(t *testing.T, p *Portion, address string, n int64) *hold {
	t.Helper()
	var h *hold
	h = p.newHold(address, func() { go h.release() })
	if err := p.budget.take(h, n); err != nil {
		t.Fatal(err)
	}
	return h
}

func take(p *Portion, address string, n int64) error {
	return p.budget.take(p.newHold(address, func() {}), n)
}

// Guards against one kind of call that takes what is reserved for another.
func TestReservedBytesAreLeftToTheirPortion(t *testing.T) {
	is := is.New(t)
	b, first, second := newTestBudget()
	holdOf(t, first, "a", 700) // its own and all shared ones
	is.True(errors.Is(take(first, "a", 1), ErrRefused))
	is.NoErr(take(second, "b", 300))
	is.True(errors.Is(take(second, "b", 1), ErrRefused))
	is.Equal(b.sharedUsed(), int64(400))
}

// Guards against a request that is ended although another one has stalled for longer.
func TestTheRequestWithoutProgressForLongestIsEndedFirst(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, first, _ := newTestBudget()
		stalled := holdOf(t, first, "a", 350)
		time.Sleep(minStall)
		recent := holdOf(t, first, "a", 350)
		is.NoErr(take(first, "a", 100))
		is.True(stalled.wasEnded())
		is.True(!recent.wasEnded())
		is.Equal(first.events[reasonStalled].Count(), int64(1))
	})
}

// Guards against requests that end each other although all make progress.
func TestNewRequestsAreRefusedWhileAllMakeProgress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, first, _ := newTestBudget()
		current := holdOf(t, first, "a", 700)
		begin := time.Now()
		is.True(errors.Is(take(first, "a", 100), ErrRefused))
		is.Equal(time.Since(begin), time.Duration(0))
		is.True(!current.wasEnded())
	})
}

// Guards against a client that keeps its place by single bytes.
func TestSingleBytesAreNoProgress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, first, _ := newTestBudget()
		slow := holdOf(t, first, "a", 690)
		slow.unmarked = 0
		for range 5 {
			time.Sleep(minStall / 4)
			is.NoErr(first.budget.take(slow, 1))
		}
		is.NoErr(take(first, "a", 100))
		is.True(slow.wasEnded())
	})
}

// Guards against an address that holds everything while another one waits.
func TestTheAddressWithMoreThanItsShareGivesWay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, first, _ := newTestBudget()
		older := holdOf(t, first, "greedy", 350)
		newer := holdOf(t, first, "greedy", 350)
		is.True(errors.Is(take(first, "greedy", 100), ErrRefused)) // its own requests don't end each other
		is.NoErr(take(first, "other", 100))
		is.True(older.wasEnded())
		is.True(!newer.wasEnded())
	})
}

// Guards against a request that is ended although its handler has begun to act on it.
func TestAnArrivedRequestIsNotEnded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, first, _ := newTestBudget()
		h := holdOf(t, first, "a", 700)
		is.True(h.arrived())
		time.Sleep(2 * minStall)
		is.True(errors.Is(take(first, "b", 100), ErrRefused))
		is.True(!h.wasEnded())
		h.release()
		is.NoErr(take(first, "b", 100))
		is.Equal(first.usedBytes(), int64(100))
	})
}

// Guards against a log that a flood of clients fills.
func TestEventsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	lines := 0
	l := eventLog{logger: slog.New(countingHandler{slog.DiscardHandler, &lines}), counts: make(map[string]int64)}
	begin := time.Now()
	for i := range 3000 {
		l.record("first.refused", begin.Add(time.Duration(i)*time.Millisecond))
	}
	is.Equal(lines, 3)
}

// Guards against a body that lasts as long as its client likes.
func TestTheTimeOfABodyIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(arrivalTime(0), rateGrace)
	is.Equal(arrivalTime(minBytesPerSecond), rateGrace+time.Second)
	is.Equal(arrivalTime(1<<30), maxBodyTime)
}
