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

// memoryLog is a log that applies each proposal to one table immediately.
type memoryLog struct {
	replica.Log
	table *tasks.Table

	mu              sync.Mutex // Apply is called from one goroutine at a time
	now             int64
	isLeader        atomic.Bool
	failAfterApply  func(*apiv1.PlacementCommand) error // called after the command was applied; nil: no error
	failBeforeApply func(*apiv1.PlacementCommand) error // called before the command is applied; nil: no error
	barriers        atomic.Int64
}

func newMemoryLog(table *tasks.Table) *memoryLog {
	l := &memoryLog{table: table}
	l.isLeader.Store(true)
	return l
}

func (l *memoryLog) Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	if !l.isLeader.Load() {
		return nil, replica.ErrNotLeader
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	placement := command.GetPlacement()
	if l.failBeforeApply != nil {
		if err := l.failBeforeApply(placement); err != nil {
			return nil, err
		}
	}
	l.now = max(l.now, command.GetLeaderUnixMs())
	result := l.table.Apply(l.now, placement)
	if l.failAfterApply != nil {
		if err := l.failAfterApply(placement); err != nil {
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
	l.barriers.Add(1)
	if !l.isLeader.Load() {
		return replica.ErrNotLeader
	}
	return ctx.Err()
}

func (l *memoryLog) Status() replica.Status {
	return replica.Status{IsLeader: l.isLeader.Load()}
}

var errNotLeading = rpc.NotLeader("")
