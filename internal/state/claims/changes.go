package claims

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// take gives the key to the attempt if nobody holds it. The holder's own
// attempt wins again, so that a take whose answer was lost can be repeated.
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

func (t *Table) takeNew(s *shard, key string, take *apiv1.ClaimTake) *apiv1.ClaimResult {
	if refusal := t.refuseKeyTime(key); refusal != "" {
		return refuse(refusal, nil)
	}
	if len(t.expiries) >= t.options.MaxClaims {
		return refuse(RefusalFull, nil)
	}
	r := &record{state: t.taken(key, take)}
	t.insert(s, r)
	t.touch(r)
	return won(r)
}

// takeAgain takes a key whose earlier attempts were all aborted.
func (t *Table) takeAgain(key string, r *record, take *apiv1.ClaimTake) *apiv1.ClaimResult {
	if len(r.aborted) >= maxAborted {
		return refuse(RefusalAbortLimit, r)
	}
	r.state = t.taken(key, take)
	t.touch(r)
	return won(r)
}

func (t *Table) taken(key string, take *apiv1.ClaimTake) *apiv1.ClaimState {
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

// refuseKeyTime refuses a key that may have been held and forgotten.
func (t *Table) refuseKeyTime(key string) string {
	named, ok := keyTime(key)
	switch {
	case !ok:
		return ""
	case named+t.options.Retention.Milliseconds() < t.now:
		return RefusalKeyExpired
	case named > t.now+futureAllowance.Milliseconds():
		return RefusalKeyFuture
	default:
		return ""
	}
}

// settle records the outcome of the holder's request.
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
	t.keep(r, settle.GetAnswer())
	t.touch(r)
	return won(r)
}

// keep stores the answer, or only its status if it is too large.
func (t *Table) keep(r *record, answer *apiv1.KeptAnswer) {
	if answer == nil || r.state.GetGeneratedKey() {
		return
	}
	if answerSize(answer) > t.options.MaxAnswerBytes {
		r.state.Answer = truncated(answer)
		return
	}
	r.state.Answer = proto.CloneOf(answer)
	t.addAnswer(r, t.answers.last+1)
}

// abort frees the key of the attempt, and bars the attempt from taking it.
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
	if !held && len(r.aborted) >= maxAborted {
		return refuse(RefusalAbortLimit, r)
	}
	r.aborted = append(r.aborted, attempt)
	if held {
		t.setAborted(r)
	}
	t.touch(r)
	return won(r)
}

// abortUnknown notes the abort of a take that was not applied and may yet be.
func (t *Table) abortUnknown(s *shard, key string, abort *apiv1.ClaimAbort) *apiv1.ClaimResult {
	if len(t.expiries) >= t.options.MaxClaims+t.options.MaxClaims/abortReserve {
		return refuse(RefusalFull, nil)
	}
	r := &record{
		state:   &apiv1.ClaimState{Key: key, Entry: abort.GetEntry(), TakenUnixMs: t.now},
		aborted: []string{abort.GetAttempt()},
	}
	t.setAborted(r)
	t.insert(s, r)
	t.touch(r)
	return won(r)
}

func (t *Table) setAborted(r *record) {
	r.state.Settled = true
	r.state.Outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	r.state.SettledUnixMs = t.now
}
