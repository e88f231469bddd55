package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// proposal is a command or membership change that is not yet applied.
type proposal struct {
	data []byte       // encoded command; nil for a membership change
	term uint64       // in which it was appended
	done chan outcome // receives at most one outcome
}

// outcome is the result or error of a proposal.
type outcome struct {
	result *apiv1.CommandResult
	err    error
}

func newProposal(data []byte) *proposal {
	return &proposal{data: data, done: make(chan outcome, 1)}
}

// Propose implements Log. It blocks while maxPendingProposals calls are in
// progress, and fails for commands larger than maxCommandBytes.
func (r *Replica) Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a command")
	}
	if len(data) > maxCommandBytes {
		return nil, errors.Newf("the command has %d bytes, more than %d", len(data), maxCommandBytes)
	}
	select {
	case r.proposalSlots <- struct{}{}:
		defer func() { <-r.proposalSlots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
		return nil, ErrNotLeader
	}
	if r.hasStopped() {
		return nil, ErrNotLeader
	}
	p := newProposal(data)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
		return nil, ErrNotLeader
	}
	return r.awaitOutcome(ctx, p)
}

func (r *Replica) hasStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// awaitOutcome waits for the outcome of a proposal that was passed to the loop.
func (r *Replica) awaitOutcome(ctx context.Context, p *proposal) (*apiv1.CommandResult, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, ErrIndeterminate
	}
}

// propose appends the commands as one batch.
func (r *Replica) propose(group []*proposal) {
	if len(group) == 0 {
		return
	}
	commands := make([][]byte, len(group))
	for i, p := range group {
		commands[i] = p.data
	}
	first, err := r.core.Propose(commands...)
	if err != nil {
		for _, p := range group {
			p.done <- outcome{err: toLogError(err)}
		}
		return
	}
	r.counters.proposals.Inc(int64(len(group)))
	for i, p := range group {
		p.term = r.core.Term()
		r.pending.add(first+uint64(i), p)
	}
}

// toLogError maps errors of the core to those of Log.
func toLogError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferInProgress):
		return ErrNotLeader
	case errors.Is(err, raft.ErrChangeInProgress):
		return ErrChangeInProgress
	case errors.Is(err, raft.ErrNotCaughtUp):
		return ErrNotCaughtUp
	}
	return err
}

// pendingProposals holds the proposals that are appended but not yet applied, by
// index.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]*proposal
}

// add records a proposal that was appended at index. A proposal that was appended
// there in an earlier term fails with ErrIndeterminate.
func (p *pendingProposals) add(index uint64, added *proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byIndex == nil {
		p.byIndex = make(map[uint64]*proposal)
	}
	if earlier := p.byIndex[index]; earlier != nil {
		earlier.done <- outcome{err: ErrIndeterminate}
	}
	p.byIndex[index] = added
}

// applied completes the proposal that was appended at index, if there is one, after
// the entry at index was applied. If that entry has another term, another leader
// appended it and the outcome is ErrIndeterminate.
func (p *pendingProposals) applied(index, term uint64, result *apiv1.CommandResult) {
	p.mu.Lock()
	found := p.byIndex[index]
	delete(p.byIndex, index)
	p.mu.Unlock()
	switch {
	case found == nil:
	case found.term == term:
		found.done <- outcome{result: result}
	default:
		found.done <- outcome{err: ErrIndeterminate}
	}
}

// failAfter fails all proposals that were appended after index with err.
func (p *pendingProposals) failAfter(index uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, found := range p.byIndex {
		if at > index {
			found.done <- outcome{err: err}
			delete(p.byIndex, at)
		}
	}
}
