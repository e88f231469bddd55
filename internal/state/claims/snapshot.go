package claims

import (
	"sort"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Snapshot encodes the whole table; equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := &apiv1.ClaimTableSnapshot{NowUnixMs: t.now, LastAnswerSequence: t.answers.newestSequence}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, r := range s.records {
			snapshot.Records = append(snapshot.Records, &apiv1.ClaimRecord{
				State:           r.copyState(),
				AbortedAttempts: append([]string(nil), r.abortedAttempts...),
				ExpiryUnixMs:    r.expiry,
				AnswerSequence:  r.answerSequence,
			})
		}
		s.mu.RUnlock()
	}
	sort.Slice(snapshot.Records, func(i, j int) bool {
		return snapshot.Records[i].GetState().GetKey() < snapshot.Records[j].GetState().GetKey()
	})
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, errors.Wrap(err, "encode claim table")
}

// Restore replaces the contents of the table with a snapshot. On an error the table
// is unchanged.
func (t *Table) Restore(encoded []byte) error {
	snapshot := &apiv1.ClaimTableSnapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return errors.Wrap(err, "decode claim table")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	for _, saved := range byAnswerAge(snapshot.GetRecords()) {
		t.restore(saved)
	}
	t.now = snapshot.GetNowUnixMs()
	t.answers.newestSequence = snapshot.GetLastAnswerSequence()
	return nil
}

// byAnswerAge sorts the records in place by the sequence of their answers, oldest
// first, so that restoring them in order rebuilds the answer queue.
func byAnswerAge(records []*apiv1.ClaimRecord) []*apiv1.ClaimRecord {
	sort.SliceStable(records, func(i, j int) bool {
		return records[i].GetAnswerSequence() < records[j].GetAnswerSequence()
	})
	return records
}

func (t *Table) restore(saved *apiv1.ClaimRecord) {
	r := &record{
		state:           saved.GetState(),
		abortedAttempts: saved.GetAbortedAttempts(),
		expiry:          saved.GetExpiryUnixMs(),
	}
	s := t.shard(r.state.GetKey())
	s.mu.Lock()
	defer s.mu.Unlock()
	t.insert(s, r)
	if sequence := saved.GetAnswerSequence(); sequence != 0 {
		t.addAnswer(r, sequence)
	}
}
