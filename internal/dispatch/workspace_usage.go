package dispatch

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// WorkspaceUsages returns what each workspace of the catalog uses and waits for, and those without an entry
// there that still use something, sorted by name. They contain no key digests.
func (d *Dispatcher) WorkspaceUsages() []*apiv1.WorkspaceUsage {
	capacity := d.capacity()
	usages := d.ledger.usages()
	for _, workspace := range d.Table.Catalog().Workspaces() {
		usage := usages[workspace.GetName()]
		if usage == nil {
			usage = &apiv1.WorkspaceUsage{}
			usages[workspace.GetName()] = usage
		}
		usage.Workspace = proto.CloneOf(workspace)
		usage.Workspace.KeyDigests = nil
	}
	var found []*apiv1.WorkspaceUsage
	for name, usage := range usages {
		if usage.Workspace == nil {
			if isIdle(usage) {
				continue
			}
			usage.Workspace = &apiv1.Workspace{Name: name}
		}
		found = append(found, usage)
	}
	setShares(found, capacity)
	slices.SortFunc(found, func(a, b *apiv1.WorkspaceUsage) int {
		return strings.Compare(a.GetWorkspace().GetName(), b.GetWorkspace().GetName())
	})
	return found
}

// isIdle reports whether the workspace uses nothing and waits for nothing.
func isIdle(usage *apiv1.WorkspaceUsage) bool {
	return usage.GetWaitingUnits() == 0 && usage.GetCpuMillis() == 0 && usage.GetMemoryMb() == 0 && usage.GetAccelerators() == 0
}

// setShares sets the shares and fair shares of the workspaces. One with units that wait could use all of
// the capacity, but for its cap.
func setShares(usages []*apiv1.WorkspaceUsage, capacity resources) {
	var working []*apiv1.WorkspaceUsage
	var claims []shareClaim
	for _, usage := range usages {
		used := resources{cpu: usage.GetCpuMillis(), memory: usage.GetMemoryMb(), accelerators: usage.GetAccelerators()}
		usage.Share = min(1, dominantShare(used, capacity))
		if isIdle(usage) {
			continue
		}
		demand := usage.GetShare()
		if usage.GetWaitingUnits() > usage.GetHeldByCap() {
			demand = 1
		}
		working = append(working, usage)
		claims = append(claims, shareClaim{weight: usage.GetWorkspace().GetWeight(), demand: demand})
	}
	for i, share := range fairShares(claims, 1) {
		working[i].FairShare = share
	}
}

// capacity returns the capacity of all workers.
func (d *Dispatcher) capacity() resources {
	var total resources
	for _, p := range d.allPools() {
		p.mu.Lock()
		for _, w := range p.workerList {
			total.add(w.capacity)
		}
		p.mu.Unlock()
	}
	return total
}

// usages returns, by workspace, what it uses and waits for, and the numbers of its jobs.
func (l *ledger) usages() map[string]*apiv1.WorkspaceUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]*apiv1.WorkspaceUsage, len(l.workspaces))
	for name, a := range l.workspaces {
		used := a.usage(l.unsettled)
		found[name] = &apiv1.WorkspaceUsage{
			CpuMillis: used.cpu, MemoryMb: used.memory, Accelerators: used.accelerators,
			Accepted: a.accepted, OverRate: a.overRate, Refused: a.refused,
		}
	}
	for _, waiting := range l.waiting {
		for name, work := range waiting {
			if usage := found[name]; usage != nil {
				usage.WaitingUnits += int64(work.units)
				usage.HeldByCap += int64(work.held)
			}
		}
	}
	return found
}

// countAccepted counts a job that was accepted in this term.
func (l *ledger) countAccepted(accepted *apiv1.CallerJob) {
	if accepted.GetWorkspace() == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(accepted.GetWorkspace())
	a.accepted++
	if accepted.GetOverRate() {
		a.overRate++
	}
}

// countRefused counts a job that was refused in this term.
func (l *ledger) countRefused(workspace string) {
	if workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(workspace).refused++
}
