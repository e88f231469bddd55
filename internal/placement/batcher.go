package placement

import (
	"context"
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// batcher combines the registrations, expiries and reports that arrive while one
// command is being committed into the next.
type batcher struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	pending *batch // the batch being filled; nil: none
}

// batch is a command and its result.
type batch struct {
	command *apiv1.PlacementCommand
	done    chan struct{}
	err     error // valid once done is closed
}

func newBatcher(config Config) *batcher {
	return &batcher{config: config, wake: make(chan struct{}, 1)}
}

// submit commits an addition to the task table in a batch with others, and returns
// once it is applied. If it returns an error, the addition may still be applied.
func (b *batcher) submit(ctx context.Context, addition *apiv1.PlacementCommand) error {
	p := b.enqueue(addition)
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batcher) enqueue(addition *apiv1.PlacementCommand) *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = &batch{command: &apiv1.PlacementCommand{}, done: make(chan struct{})}
	}
	command := b.pending.command
	command.Register = append(command.Register, addition.GetRegister()...)
	command.Expire = append(command.Expire, addition.GetExpire()...)
	command.Reports = append(command.Reports, addition.GetReports()...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return b.pending
}

// run commits batches until ctx ends. A later submit waits until its own context ends.
func (b *batcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			b.failPending(ctx.Err())
			return ctx.Err()
		case <-b.wake:
		}
		if p := b.takePending(); p != nil {
			_, p.err = b.config.propose(ctx, p.command)
			close(p.done)
		}
	}
}

func (b *batcher) takePending() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pending
	b.pending = nil
	return p
}

func (b *batcher) failPending(err error) {
	if p := b.takePending(); p != nil {
		p.err = err
		close(p.done)
	}
}

// propose commits one command, stamped with the current time.
func (c Config) propose(ctx context.Context, command *apiv1.PlacementCommand) (*apiv1.PlacementResult, error) {
	result, err := c.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: c.now(),
		Body:         &apiv1.Command_Placement{Placement: command},
	})
	return result.GetPlacement(), err
}
