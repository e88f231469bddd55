package placement

import (
	"context"
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// commits collects what workers say into few commands.
type commits struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	pending *pending // nil: nothing to commit
}

// pending is a command that is being filled.
type pending struct {
	command *apiv1.PlacementCommand
	done    chan struct{}
	err     error // valid once done is closed
}

func newCommits(config Config) *commits {
	return &commits{config: config, wake: make(chan struct{}, 1)}
}

// submit commits an addition to the table together with others, and returns
// once it is applied. On an error its fate is unknown.
func (c *commits) submit(ctx context.Context, add *apiv1.PlacementCommand) error {
	p := c.add(add)
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *commits) add(add *apiv1.PlacementCommand) *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = &pending{command: &apiv1.PlacementCommand{}, done: make(chan struct{})}
	}
	command := c.pending.command
	command.Register = append(command.Register, add.GetRegister()...)
	command.Expire = append(command.Expire, add.GetExpire()...)
	command.Reports = append(command.Reports, add.GetReports()...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.pending
}

// run commits until ctx ends.
func (c *commits) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.fail(ctx.Err())
			return ctx.Err()
		case <-c.wake:
		}
		if p := c.take(); p != nil {
			_, p.err = c.config.propose(ctx, p.command)
			close(p.done)
		}
	}
}

func (c *commits) take() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending = nil
	return p
}

func (c *commits) fail(err error) {
	if p := c.take(); p != nil {
		p.err = err
		close(p.done)
	}
}

// propose commits one command at the present time.
func (c Config) propose(ctx context.Context, command *apiv1.PlacementCommand) (*apiv1.PlacementResult, error) {
	result, err := c.Log.Propose(ctx, &apiv1.Command{
		LeaderUnixMs: c.now(),
		Body:         &apiv1.Command_Placement{Placement: command},
	})
	return result.GetPlacement(), err
}
