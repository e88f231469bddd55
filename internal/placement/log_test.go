package placement_test

import (
	"context"
	"sync"
	"sync/atomic"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// memoryLog applies each proposal to one table at once.
type memoryLog struct {
	replica.Log
	table *tasks.Table

	mu      sync.Mutex // Apply is called from one goroutine at a time
	now     int64
	leads   atomic.Bool
	lose    func(*apiv1.PlacementCommand) error // asked after the command was applied; nil: never
	refuse  func(*apiv1.PlacementCommand) error // asked before; nil: never
	barrier atomic.Int64
}

func newMemoryLog(table *tasks.Table) *memoryLog {
	l := &memoryLog{table: table}
	l.leads.Store(true)
	return l
}

func (l *memoryLog) Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	if !l.leads.Load() {
		return nil, replica.ErrNotLeader
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	placement := command.GetPlacement()
	if l.refuse != nil {
		if err := l.refuse(placement); err != nil {
			return nil, err
		}
	}
	l.now = max(l.now, command.GetLeaderUnixMs())
	result := l.table.Apply(l.now, placement)
	if l.lose != nil {
		if err := l.lose(placement); err != nil {
			return nil, err
		}
	}
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Placement{Placement: result}}, nil
}

func (l *memoryLog) configure(now int64, c *apiv1.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = max(l.now, now)
	l.table.Configure(l.now, c)
}

func (l *memoryLog) Barrier(ctx context.Context) error {
	l.barrier.Add(1)
	if !l.leads.Load() {
		return replica.ErrNotLeader
	}
	return ctx.Err()
}

func (l *memoryLog) Status() replica.Status {
	return replica.Status{IsLeader: l.leads.Load()}
}

var errNotLeading = rpc.NotLeader("")
