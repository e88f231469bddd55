package claims

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxAbortedAttempts bounds the aborted attempts remembered for one key.
const maxAbortedAttempts = 32

// abortReserveDivisor is the part of the table's maximum, as a divisor, that aborts of
// unknown keys may use beyond it.
const abortReserveDivisor = 8

// record is what the table knows of one key. A record without a holder was
// left by an abort.
type record struct {
	state           *apiv1.ClaimState
	abortedAttempts []string // attempts, oldest first
	expiry          int64    // Unix milliseconds
	heapIndex       int      // in the expiry queue
	answerBytes     int      // bytes of the kept answer
	answerSequence  uint64   // of the kept answer
}

// free reports whether another attempt may take the key.
func (r *record) free() bool {
	return r.state.GetSettled() && r.state.GetOutcome() == apiv1.Outcome_OUTCOME_NOT_RUN
}

func (r *record) wasAborted(attempt string) bool {
	return slices.Contains(r.abortedAttempts, attempt)
}

func (r *record) heldBy(entry, attempt string) bool {
	return r.state.GetEntry() == entry && r.state.GetAttempt() == attempt
}

// copyState returns a copy that shares nothing with the table.
func (r *record) copyState() *apiv1.ClaimState {
	return proto.CloneOf(r.state)
}

// answerSize returns the bytes that a kept answer occupies.
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
