package claims

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxAbortedAttempts is how many aborted attempts are stored for one key.
const maxAbortedAttempts = 32

// abortReserveDivisor sets how far aborts of unknown keys may exceed
// Options.MaxClaims: by that maximum divided by it.
const abortReserveDivisor = 8

// record is the state of one key. A record without a holder was created or freed
// by an abort.
type record struct {
	state           *apiv1.ClaimState
	abortedAttempts []string // attempts, oldest first
	expiry          int64    // Unix milliseconds
	heapIndex       int      // in Table.expiries
	answerBytes     int      // size of the kept answer; 0 if none
	answerSequence  uint64   // position of the kept answer in the order of all answers; 0 if none
}

// free reports whether the key has no holder, so that an attempt that was not
// aborted may take it.
func (r *record) free() bool {
	return r.state.GetSettled() && r.state.GetOutcome() == apiv1.Outcome_OUTCOME_NOT_RUN
}

func (r *record) wasAborted(attempt string) bool {
	return slices.Contains(r.abortedAttempts, attempt)
}

func (r *record) heldBy(entry, attempt string) bool {
	return r.state.GetEntry() == entry && r.state.GetAttempt() == attempt
}

// copyState returns a deep copy of the claim's state.
func (r *record) copyState() *apiv1.ClaimState {
	return proto.CloneOf(r.state)
}

// answerSize returns the size of an answer's header and body in bytes.
func answerSize(answer *apiv1.KeptAnswer) int {
	if answer == nil {
		return 0
	}
	size := len(answer.GetBody())
	for _, field := range answer.GetHeader() {
		size += len(field.GetName()) + len(field.GetValue())
	}
	return size
}
