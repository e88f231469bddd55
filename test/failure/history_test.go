package failure_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for a linearization.
const checkTimeout = 2 * time.Minute

// operation kinds of the publication history.
const (
	opPublish = "publish"
	opRead    = "read"
)

// historyInput is one call by an operator. Contents are unique to the call,
// so that a read tells which publication it saw.
type historyInput struct {
	kind    string
	base    string // content that the publisher saw in force
	content string
}

// historyOutput is its answer.
type historyOutput struct {
	unknown  bool   // no answer: it may or may not have taken effect
	conflict bool   // refused: another publication took the base
	content  string // what a read saw
}

// history collects the calls of several operators.
type history struct {
	start time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
}

func newHistory() *history {
	return &history{start: time.Now()}
}

func (h *history) now() int64 {
	return int64(time.Since(h.start))
}

// add records one call. A call whose fate is unknown may take effect at any
// later time.
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
		t.Errorf("no verdict on the history of %d operations within %v", len(h.operations), checkTimeout)
	}
}

// publicationModel is a register that changes by compare-and-set. Its state is
// the content in force.
func publicationModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return publicationStep(state.(string), input.(historyInput), output.(historyOutput))
		},
	}
	return model.ToModel()
}

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
