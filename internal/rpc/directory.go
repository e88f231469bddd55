package rpc

import (
	"slices"
	"sync"
	"time"
)

// suspicion is how long an address that failed is passed over. Until then
// other processes may still name it as the leader.
const suspicion = time.Second

// directory knows the control processes and guesses which one leads.
type directory struct {
	mu        sync.Mutex
	addresses []string
	preferred string // the leader, as far as known; empty: not known
	next      int    // index of the address to try when no leader is known
	suspects  map[string]time.Time
}

func newDirectory(addresses []string) *directory {
	return &directory{addresses: slices.Clone(addresses), suspects: make(map[string]time.Time)}
}

func (d *directory) set(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = slices.Clone(addresses)
}

// known returns all addresses that may be called next.
func (d *directory) known() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(slices.Clone(d.addresses), d.preferred)
}

func (d *directory) leader() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.preferred
}

// size returns how many addresses are known, at least one.
func (d *directory) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.addresses))
}

// pick returns the address to try: the leader, or the next one that did not
// fail lately, or the next one if all did.
func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.preferred != "" {
		return d.preferred
	}
	for i := range d.addresses {
		index := (d.next + i) % len(d.addresses)
		if !d.suspect(d.addresses[index]) {
			d.next = index
			return d.addresses[index]
		}
	}
	if len(d.addresses) == 0 {
		return ""
	}
	return d.addresses[d.next%len(d.addresses)]
}

// answered notes that the process at the address served a call.
func (d *directory) answered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.preferred = address
	delete(d.suspects, address)
}

// failed notes that no answer came from the address.
func (d *directory) failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects[address] = time.Now().Add(suspicion)
	d.pass(address)
}

// follow notes that the process at the address does not lead, and whom it takes
// for the leader. A hint at an address that just failed is stale.
func (d *directory) follow(leader, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, address)
	if leader == "" || leader == address || d.suspect(leader) {
		d.pass(address)
		return
	}
	d.preferred = leader
}

// pass goes on to the next address. Of many callers that fail at one address,
// the first one moves on for all.
func (d *directory) pass(address string) {
	if d.preferred == address {
		d.preferred = ""
	}
	if len(d.addresses) > 0 && d.addresses[d.next%len(d.addresses)] == address {
		d.next = (d.next + 1) % len(d.addresses)
	}
}

func (d *directory) suspect(address string) bool {
	until, ok := d.suspects[address]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(d.suspects, address)
		return false
	}
	return true
}
