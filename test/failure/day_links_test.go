package failure_test

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

const (
	delayWithinRegion  = 900 * time.Microsecond
	delayAcrossRegions = 8 * time.Millisecond

	bytesPerMegabit        = 1_000_000 / 8
	entryLinkBytes         = 2 * bytesPerMegabit // per second, as are those below
	coreLinkBytes          = 200 * bytesPerMegabit
	bytesBetweenTwoRegions = 60 * bytesPerMegabit
)

// dayPlace is where a process runs.
type dayPlace struct {
	region string
	core   bool // on a VM of the core
}

// dayLink is the path from one process to another, by their names.
type dayLink struct{ from, to string }

// dayLinks is the state of the links between daemons. It isn't safe for concurrent use.
type dayLinks struct {
	cell   *soakCell
	places map[string]dayPlace // by name of the process
	off    map[string]bool     // processes whose VM has no power
	halves map[string]int      // processes that reach only those of the same number; empty: all are reached
	cut    map[dayLink]bool    // paths on which nothing arrives
}

func newDayLinks(c *soakCell) *dayLinks {
	return &dayLinks{
		cell: c, places: make(map[string]dayPlace), off: make(map[string]bool), halves: make(map[string]int), cut: make(map[dayLink]bool),
	}
}

// add makes a process known.
func (l *dayLinks) add(p *soakProcess, place dayPlace) {
	l.places[p.name] = place
	p.region = place.region
	to := netip.MustParseAddrPort(p.link.Address())
	p.link.Identify(func(client net.Addr) string { return l.cell.ownerOf(client, to) })
}

// apply sets the faults of all relays to the state of the links.
func (l *dayLinks) apply() {
	state := dayLinks{places: maps.Clone(l.places), off: maps.Clone(l.off), halves: maps.Clone(l.halves), cut: maps.Clone(l.cut)}
	for _, p := range l.cell.daemons() {
		p.link.SetFaults(func(from string) relay.Fault { return state.fault(from, p.name) })
	}
	for _, p := range l.cell.lostVMs {
		p.link.SetFault(relay.Fault{Silent: true})
	}
}

// closeConnections closes the connections to the processes: those that have dropped data can't be used any more.
func (l *dayLinks) closeConnections(processes []*soakProcess) {
	for _, p := range processes {
		p.link.CloseConnections()
	}
}

// fault returns the fault of connections that one process dials to the other.
func (l *dayLinks) fault(from, to string) relay.Fault {
	source, target := l.places[from], l.places[to]
	f := relay.Fault{Delay: delayWithinRegion, BytesPerSecond: coreLinkBytes}
	if source.region != target.region {
		f.Delay, f.BytesPerSecond = delayAcrossRegions, bytesBetweenTwoRegions
	}
	if !source.core || !target.core {
		f.BytesPerSecond = entryLinkBytes
	}
	sourceHalf, sourceSplit := l.halves[from]
	targetHalf, targetSplit := l.halves[to]
	f.Silent = l.off[to] || sourceSplit && targetSplit && sourceHalf != targetHalf
	f.DropToTarget, f.DropToClient = l.cut[dayLink{from, to}], l.cut[dayLink{to, from}]
	return f
}

// ownerOf returns the name of the daemon that has dialed a relay from the client's address; "" if it isn't known.
func (c *soakCell) ownerOf(client net.Addr, relayAddress netip.AddrPort) string {
	local, err := netip.ParseAddrPort(client.String())
	if err != nil {
		return ""
	}
	inode := socketInode(local, relayAddress)
	if inode == 0 {
		return ""
	}
	for _, p := range c.daemons() {
		if pid := p.pid(); pid != 0 && ownsSocket(pid, inode) {
			return p.name
		}
	}
	return ""
}

// pid returns the process's id; 0 if it has not been started.
func (p *soakProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}
