package dispatch

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
)

// errPanicked is the result of a call that panicked.
var errPanicked = errors.New("the call panicked")

// panicBackoff is how long a unit or worker whose handling panicked is left alone.
const panicBackoff = 2 * time.Second

// contain runs one decision or call and reports whether it completed. A panic in it is
// counted and logged with its stack and ends nothing else: an error in the handling of one
// unit or worker must not take the leader down, and with it each of its successors.
//
// work must release its locks with defer.
func (d *Dispatcher) contain(what, subject string, work func()) (completed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			d.counters.panics.Inc(1)
			d.Logger.Error("panic contained", "in", what, "subject", subject, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	work()
	return true
}
