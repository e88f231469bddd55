package failure_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the linearizability check.
const checkTimeout = 2 * time.Minute

// Kinds of operations in a history.
const (
	opPublish = "publish"
	opRead    = "read"
)

// historyInput is the input of one operator's call. Each publication has unique
// content, so that a read identifies the publication that it saw.
type historyInput struct {
	kind    string
	base    string // content on which the publication is based
	content string
}

// historyOutput is the result of one operator's call.
type historyOutput struct {
	unknown  bool   // no response: the call may or may not have taken effect
	conflict bool   // refused: the base is no longer the current content
	content  string // read content
}

// history collects the calls of several operators; it is safe for concurrent use.
type history struct {
	start time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
}

func newHistory() *history {
	return &history{start: time.Now()}
}

// now returns the nanoseconds since the history's start.
func (h *history) now() int64 {
	return int64(time.Since(h.start))
}

// add records one call. An indeterminate call may take effect at any later time, so
// its end is set to 24 hours after the start.
func (h *history) add(operator int, called int64, in historyInput, out historyOutput) {
	returned := h.now()
	if out.unknown {
		returned = int64(24 * time.Hour)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: operator, Input: in, Output: out, Call: called, Return: returned,
	})
}

// check fails the test unless the history is linearizable.
func (h *history) check(t testing.TB) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch porcupine.CheckOperationsTimeout(publicationModel(), h.operations, checkTimeout) {
	case porcupine.Ok:
		t.Logf("history of %d operations is linearizable", len(h.operations))
	case porcupine.Illegal:
		t.Errorf("history of %d operations is not linearizable", len(h.operations))
	case porcupine.Unknown:
		t.Errorf("the check of the history of %d operations did not end within %v", len(h.operations), checkTimeout)
	}
}

// publicationModel is a register with compare-and-set. Its state is the current
// content.
func publicationModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return publicationStep(state.(string), input.(historyInput), output.(historyOutput))
		},
	}
	return model.ToModel()
}

// publicationStep returns the possible states after an operation; none if the output
// is impossible in the given state.
func publicationStep(state string, in historyInput, out historyOutput) []any {
	switch {
	case in.kind == opRead && (out.unknown || out.content == state):
		return []any{state}
	case in.kind == opRead:
		return nil
	case out.unknown && in.base == state:
		return []any{state, in.content}
	case out.unknown:
		return []any{state}
	case out.conflict && in.base != state:
		return []any{state}
	case out.conflict || in.base != state:
		return nil
	default:
		return []any{in.content}
	}
}
