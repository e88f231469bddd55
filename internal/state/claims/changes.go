package claims

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// take assigns the key to the attempt if no other attempt holds it. A repeated take
// by the holder wins again, so that a take whose response was lost can be retried.
func (t *Table) take(s *shard, key string, take *apiv1.ClaimTake) *apiv1.ClaimResult {
	if take.GetEntry() == "" || take.GetAttempt() == "" {
		return refuse(RefusalInvalid, nil)
	}
	r, ok := s.records[key]
	if !ok {
		return t.takeNew(s, key, take)
	}
	if r.wasAborted(take.GetAttempt()) {
		return refuse(RefusalAborted, r)
	}
	if r.free() {
		return t.takeAgain(key, r, take)
	}
	switch {
	case !bytes.Equal(r.state.GetRequestDigest(), take.GetRequestDigest()):
		return refuse(RefusalOtherBody, r)
	case r.state.GetSettled():
		return refuse(RefusalSettled, r)
	case r.heldBy(take.GetEntry(), take.GetAttempt()):
		return won(r)
	default:
		return refuse(RefusalTaken, r)
	}
}

// takeNew assigns a key that the table does not hold.
func (t *Table) takeNew(s *shard, key string, take *apiv1.ClaimTake) *apiv1.ClaimResult {
	if refusal := t.checkKeyTime(key); refusal != "" {
		return refuse(refusal, nil)
	}
	if len(t.expiries) >= t.options.MaxClaims {
		return refuse(RefusalFull, nil)
	}
	r := &record{state: t.newClaim(key, take)}
	t.insert(s, r)
	t.renewExpiry(r)
	return won(r)
}

// takeAgain assigns a key that has no holder because its earlier attempts were
// aborted.
func (t *Table) takeAgain(key string, r *record, take *apiv1.ClaimTake) *apiv1.ClaimResult {
	if len(r.abortedAttempts) >= maxAbortedAttempts {
		return refuse(RefusalAbortLimit, r)
	}
	r.state = t.newClaim(key, take)
	t.renewExpiry(r)
	return won(r)
}

func (t *Table) newClaim(key string, take *apiv1.ClaimTake) *apiv1.ClaimState {
	return &apiv1.ClaimState{
		Key:           key,
		RequestDigest: bytes.Clone(take.GetRequestDigest()),
		Entry:         take.GetEntry(),
		Service:       take.GetService(),
		TakenUnixMs:   t.now,
		Attempt:       take.GetAttempt(),
		GeneratedKey:  take.GetGeneratedKey(),
	}
}

// checkKeyTime returns the refusal code for a key whose own time is too far in the
// future, or older than the retention, so that an earlier claim may have been
// forgotten; empty for any other key.
func (t *Table) checkKeyTime(key string) string {
	keyUnixMs, ok := keyTime(key)
	switch {
	case !ok:
		return ""
	case keyUnixMs+t.options.Retention.Milliseconds() < t.now:
		return RefusalKeyExpired
	case keyUnixMs > t.now+maxClockSkew.Milliseconds():
		return RefusalKeyFuture
	default:
		return ""
	}
}

// settle records the outcome of the holder's request. Only the holder may settle,
// and only once.
func (t *Table) settle(s *shard, key string, settle *apiv1.ClaimSettle) *apiv1.ClaimResult {
	r, ok := s.records[key]
	switch {
	case !ok:
		return refuse(RefusalNotHolder, nil)
	case !r.heldBy(settle.GetEntry(), settle.GetAttempt()):
		return refuse(RefusalNotHolder, r)
	case r.state.GetSettled():
		return refuse(RefusalSettled, r)
	case settle.GetOutcome() != apiv1.Outcome_OUTCOME_DONE && settle.GetOutcome() != apiv1.Outcome_OUTCOME_UNKNOWN:
		return refuse(RefusalInvalid, r)
	}
	r.state.Settled = true
	r.state.Outcome = settle.GetOutcome()
	r.state.SettledUnixMs = t.now
	t.keepAnswer(r, settle.GetAnswer())
	t.renewExpiry(r)
	return won(r)
}

// keepAnswer stores the answer, or only its status if it is larger than
// Options.MaxAnswerBytes. No answer is kept for a generated key.
func (t *Table) keepAnswer(r *record, answer *apiv1.KeptAnswer) {
	if answer == nil || r.state.GetGeneratedKey() {
		return
	}
	if answerSize(answer) > t.options.MaxAnswerBytes {
		r.state.Answer = truncated(answer)
		return
	}
	r.state.Answer = proto.CloneOf(answer)
	t.addAnswer(r, t.answers.newestSequence+1)
}

// abort frees the key if the attempt holds it, and makes later takes by the attempt
// fail.
func (t *Table) abort(s *shard, key string, abort *apiv1.ClaimAbort) *apiv1.ClaimResult {
	attempt := abort.GetAttempt()
	if abort.GetEntry() == "" || attempt == "" {
		return refuse(RefusalInvalid, nil)
	}
	r, ok := s.records[key]
	if !ok {
		return t.abortUnknown(s, key, abort)
	}
	if r.wasAborted(attempt) {
		return won(r)
	}
	held := r.heldBy(abort.GetEntry(), attempt)
	if held && r.state.GetSettled() {
		return refuse(RefusalSettled, r)
	}
	if !held && len(r.abortedAttempts) >= maxAbortedAttempts {
		return refuse(RefusalAbortLimit, r)
	}
	r.abortedAttempts = append(r.abortedAttempts, attempt)
	if held {
		t.markAborted(r)
	}
	t.renewExpiry(r)
	return won(r)
}

// abortUnknown records the abort of a take that has not been applied but still may
// be.
func (t *Table) abortUnknown(s *shard, key string, abort *apiv1.ClaimAbort) *apiv1.ClaimResult {
	if len(t.expiries) >= t.options.MaxClaims+t.options.MaxClaims/abortReserveDivisor {
		return refuse(RefusalFull, nil)
	}
	r := &record{
		state:           &apiv1.ClaimState{Key: key, Entry: abort.GetEntry(), TakenUnixMs: t.now},
		abortedAttempts: []string{abort.GetAttempt()},
	}
	t.markAborted(r)
	t.insert(s, r)
	t.renewExpiry(r)
	return won(r)
}

// markAborted settles the claim as not run, which frees its key.
func (t *Table) markAborted(r *record) {
	r.state.Settled = true
	r.state.Outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	r.state.SettledUnixMs = t.now
}
