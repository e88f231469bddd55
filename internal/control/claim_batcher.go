package control

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	maxBatchChanges          = 1024    // claim changes of one command, unless a single call has more
	maxBatchBytes            = 1 << 20 // size of one command, unless a single call has more
	maxClaimCommandsInFlight = 4
)

// claimBatcher batches the changes of concurrent calls into commands. A call is
// proposed at once while fewer than maxClaimCommandsInFlight commands are in
// flight; otherwise it waits for one of the next commands. It is safe for
// concurrent use.
type claimBatcher struct {
	ctx    context.Context // ends with the leadership
	server *Server

	mu       sync.Mutex
	waiting  []*claimCall
	inFlight int
	closed   bool
	workers  sync.WaitGroup
}

// claimCall is one caller's changes and their outcome.
type claimCall struct {
	changes []*apiv1.ClaimChange
	bytes   int
	done    chan struct{}
	results []*apiv1.ClaimResult // set before done is closed
	err     error                // set before done is closed
}

func newClaimBatcher(ctx context.Context, server *Server) *claimBatcher {
	return &claimBatcher{ctx: ctx, server: server}
}

// commit commits the changes and returns their results in the same order. If ctx
// ends first, the changes may still be committed.
func (b *claimBatcher) commit(ctx context.Context, changes []*apiv1.ClaimChange) ([]*apiv1.ClaimResult, error) {
	call := &claimCall{changes: changes, done: make(chan struct{})}
	for _, change := range changes {
		call.bytes += proto.Size(change)
	}
	b.enqueue(call)
	select {
	case <-call.done:
		return call.results, call.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *claimBatcher) enqueue(call *claimCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		call.err = b.server.notLeader()
		close(call.done)
		return
	}
	b.waiting = append(b.waiting, call)
	if b.inFlight < maxClaimCommandsInFlight {
		b.inFlight++
		b.workers.Go(b.commitLoop)
	}
}

// commitLoop commits batches until no call waits.
func (b *claimBatcher) commitLoop() {
	for {
		calls := b.nextBatch()
		if calls == nil {
			return
		}
		b.commitBatch(calls)
	}
}

// nextBatch removes the calls of the next command from the queue and returns
// them. If no call waits, it counts the worker as ended and returns nil.
func (b *claimBatcher) nextBatch() []*claimCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.inFlight--
		return nil
	}
	count, changes, bytes := 0, 0, 0
	for _, call := range b.waiting {
		changes += len(call.changes)
		bytes += call.bytes
		if count > 0 && (changes > maxBatchChanges || bytes > maxBatchBytes) {
			break
		}
		count++
	}
	calls := b.waiting[:count:count]
	b.waiting = b.waiting[count:]
	return calls
}

// commitBatch proposes the changes of the calls as one command and passes each call
// its own results, or the error.
func (b *claimBatcher) commitBatch(calls []*claimCall) {
	batch := &apiv1.ClaimBatch{}
	for _, call := range calls {
		batch.Changes = append(batch.Changes, call.changes...)
	}
	results, err := b.propose(batch)
	for _, call := range calls {
		call.err = err
		if err == nil {
			call.results = results[:len(call.changes)]
			results = results[len(call.changes):]
		}
		close(call.done)
	}
}

func (b *claimBatcher) propose(batch *apiv1.ClaimBatch) ([]*apiv1.ClaimResult, error) {
	result, err := b.server.propose(b.ctx, &apiv1.Command{Body: &apiv1.Command_Claims{Claims: batch}})
	if err != nil {
		return nil, err
	}
	if result.GetRefusalCode() != "" {
		return nil, errors.Newf("claims were refused: %s", result.GetRefusal())
	}
	results := result.GetClaims().GetResults()
	if len(results) != len(batch.GetChanges()) {
		return nil, errors.Newf("%d claim changes gave %d results", len(batch.GetChanges()), len(results))
	}
	return results, nil
}

// close refuses further calls and returns once no command is in flight. It is
// called after the leadership has ended.
func (b *claimBatcher) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.workers.Wait()
}
