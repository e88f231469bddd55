package rpc

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// suspectPeriod is how long an address is skipped after a failure. During this time,
// other processes may still name it as the leader.
const suspectPeriod = time.Second

// While no process knows a leader, the next one is asked after a part of the time that the
// search has taken, up to maxSearchPause. An election takes less than a second.
const (
	searchPauseDivisor = 8
	maxSearchPause     = 500 * time.Millisecond
)

// directory holds the addresses of the control processes and the presumed leader. It is
// safe for concurrent use.
type directory struct {
	mu            sync.Mutex
	addresses     []string
	currentLeader string               // presumed; empty: not known
	named         string               // suspect process that another one named as the leader; empty: none
	next          int                  // index of the address to ask next who leads
	polls         int                  // number of times that a process was asked who leads
	nextPoll      time.Time            // when the next one may be asked
	searchBegin   time.Time            // when a poll first brought no leader; zero: one has answered since
	suspectUntil  map[string]time.Time // by address: end of the suspectPeriod
}

func newDirectory(addresses []string) *directory {
	return &directory{addresses: slices.Clone(addresses), suspectUntil: make(map[string]time.Time)}
}

// set replaces the addresses.
func (d *directory) set(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = slices.Clone(addresses)
}

// known returns all addresses that may be called next: those set and the leader's.
func (d *directory) known() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(slices.Clone(d.addresses), d.currentLeader)
}

// leader returns the address of the presumed leader; empty if not known.
func (d *directory) leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentLeader
}

// size returns the number of addresses, at least 1.
func (d *directory) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.addresses))
}

// isEmpty reports whether there is no address to call.
func (d *directory) isEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addresses) == 0 && d.currentLeader == ""
}

// candidate returns the address of the process that probably leads: the presumed leader, or
// else the suspect process that another one named. It returns "" if none is known.
func (d *directory) candidate() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.currentLeader != "" {
		return d.currentLeader
	}
	return d.named
}

// pollOrder returns the addresses in the order in which they are to be asked who leads:
// those that are not suspect first.
func (d *directory) pollOrder() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var order, suspects []string
	for i := range d.addresses {
		address := d.addresses[(d.next+i)%len(d.addresses)]
		if d.isSuspect(address) {
			suspects = append(suspects, address)
			continue
		}
		order = append(order, address)
	}
	return append(order, suspects...)
}

// mayPoll reports whether a process may be asked now who leads. All calls share the
// response, so they don't ask each for itself.
func (d *directory) mayPoll() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !time.Now().Before(d.nextPoll)
}

// untilPoll returns the time until a process may be asked who leads.
func (d *directory) untilPoll() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.nextPoll)
}

// searchTime returns how long the calls have looked for a leader.
func (d *directory) searchTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.searchBegin.IsZero() {
		return 0
	}
	return time.Since(d.searchBegin)
}

// beginPoll records that the process at the address is asked who leads. Another one is
// asked after the interval if it doesn't respond.
func (d *directory) beginPoll(address string, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.nextPoll) > maxSearchPause {
		d.searchBegin = time.Time{} // no call has looked for a leader for a while
	}
	d.polls++
	d.nextPoll = now.Add(interval)
	if i := slices.Index(d.addresses, address); i >= 0 {
		d.next = (i + 1) % len(d.addresses)
	}
}

// endPoll records that a process has failed, or has responded and doesn't lead. The next one
// is asked after the pause, or at once within a round over the addresses if the process has
// failed or no round has been made yet. While none knows a leader the pause grows with the
// length of the search.
func (d *directory) endPoll(failed bool, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	known := !failed && (d.currentLeader != "" || d.named != "")
	if known {
		d.nextPoll = now.Add(pause)
		return
	}
	if d.searchBegin.IsZero() {
		d.searchBegin = now
	}
	searched := now.Sub(d.searchBegin)
	if d.polls%max(1, len(d.addresses)) != 0 && (failed || searched < pause) {
		pause = 0
	}
	d.nextPoll = now.Add(searchPause(pause, searched))
}

// searchPause returns the pause between two polls after a search of the given length. A part
// of it is random, so that clients that lost their leader together don't ask together.
func searchPause(pause, searched time.Duration) time.Duration {
	if pause == 0 {
		return 0
	}
	longest := max(pause, min(searched/searchPauseDivisor, maxSearchPause))
	return longest/2 + rand.N(longest/2+1)
}

// markLeader records that the process at the address served a call as the leader.
func (d *directory) markLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentLeader, d.named, d.searchBegin = address, "", time.Time{}
	delete(d.suspectUntil, address)
}

// markFailed records that an attempt at the address failed or has not been answered in
// time.
func (d *directory) markFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectUntil[address] = time.Now().Add(suspectPeriod)
	if d.currentLeader == address {
		d.currentLeader = ""
	}
}

// suspects reports whether an attempt at the address failed, or was not answered in time,
// within the suspectPeriod.
func (d *directory) suspects(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isSuspect(address)
}

// redirect records that the process at the address is not the leader, and the leader that
// it names. A suspect leader may be slow or gone: calls ask elsewhere first.
func (d *directory) redirect(leader, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspectUntil, address)
	if d.currentLeader == address {
		d.currentLeader = ""
	}
	d.named = ""
	switch {
	case leader == "" || leader == address:
	case d.isSuspect(leader):
		d.named = leader
	default:
		d.currentLeader = leader
	}
}

// isSuspect reports whether the address failed within the suspectPeriod. d.mu must be
// held.
func (d *directory) isSuspect(address string) bool {
	until, ok := d.suspectUntil[address]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(d.suspectUntil, address)
		return false
	}
	return true
}
