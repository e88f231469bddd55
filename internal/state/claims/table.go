package claims

import (
	"container/heap"
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Table holds the claims. All methods may be called concurrently: Apply, Snapshot,
// Restore and Len exclude each other, and Lookup locks only the key's shard.
type Table struct {
	options Options
	shards  [shardCount]shard

	mu       sync.Mutex // guards the fields below
	now      int64      // Unix milliseconds; never goes back
	expiries expiryQueue
	answers  answerQueue
}

// New returns an empty table.
func New(options Options) *Table {
	t := &Table{options: options.withDefaults()}
	t.clear()
	return t
}

func (t *Table) clear() {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.records = make(map[string]*record)
		s.mu.Unlock()
	}
	t.now = 0
	t.expiries = nil
	t.answers = answerQueue{}
}

// Apply applies the changes in order at the given time of the replicated clock, in
// Unix milliseconds, and returns one result per change. It is deterministic.
func (t *Table) Apply(nowUnixMs int64, batch *apiv1.ClaimBatch) *apiv1.ClaimBatchResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = max(t.now, nowUnixMs)
	t.forgetExpired()
	result := &apiv1.ClaimBatchResult{}
	for _, change := range batch.GetChanges() {
		result.Results = append(result.Results, t.applyChange(change))
		t.dropOldAnswers()
	}
	return result
}

// Lookup returns a copy of the claim on a key, and false if the key is not known.
func (t *Table) Lookup(key string) (*apiv1.ClaimState, bool) {
	s := t.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.records[key]
	if !ok {
		return nil, false
	}
	return r.copyState(), true
}

// Len returns the number of keys held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.expiries)
}

func (t *Table) applyChange(change *apiv1.ClaimChange) *apiv1.ClaimResult {
	key := change.GetKey()
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case key == "":
		return refuse(RefusalInvalid, nil)
	case change.GetTake() != nil:
		return t.take(s, key, change.GetTake())
	case change.GetSettle() != nil:
		return t.settle(s, key, change.GetSettle())
	case change.GetAbort() != nil:
		return t.abort(s, key, change.GetAbort())
	default:
		return refuse(RefusalInvalid, nil)
	}
}

// renewExpiry sets a record's expiry after a change. A key with its own time is
// kept until that time alone makes checkKeyTime refuse it, so that the key can't be
// taken again once its record is forgotten.
func (t *Table) renewExpiry(r *record) {
	retention := t.options.Retention
	if r.state.GetGeneratedKey() && r.state.GetSettled() {
		retention = t.options.GeneratedRetention
	}
	from := t.now
	if keyUnixMs, ok := keyTime(r.state.GetKey()); ok {
		from = max(from, keyUnixMs)
	}
	r.expiry = from + retention.Milliseconds() + 1
	heap.Fix(&t.expiries, r.heapIndex)
}

// insert adds a new record. The caller must hold the lock of its shard.
func (t *Table) insert(s *shard, r *record) {
	s.records[r.state.GetKey()] = r
	heap.Push(&t.expiries, r)
}

// forgetExpired deletes the records whose expiry has passed.
func (t *Table) forgetExpired() {
	for len(t.expiries) > 0 && t.expiries[0].expiry <= t.now {
		r := heap.Pop(&t.expiries).(*record)
		t.removeAnswer(r)
		key := r.state.GetKey()
		s := t.shard(key)
		s.mu.Lock()
		delete(s.records, key)
		s.mu.Unlock()
	}
}

func won(r *record) *apiv1.ClaimResult {
	return &apiv1.ClaimResult{Won: true, State: r.copyState()}
}

func refuse(code string, r *record) *apiv1.ClaimResult {
	result := &apiv1.ClaimResult{Refusal: code}
	if r != nil {
		result.State = r.copyState()
	}
	return result
}
