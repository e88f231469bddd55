package failure_test

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// soakCrash tells how a worker crashes. The zero value is a crash whose next incarnation
// begins at once.
type soakCrash struct {
	downtime time.Duration // until the next incarnation begins
	silent   bool          // calls get no response meanwhile, instead of finding no listener
	newID    bool          // the next incarnation has another id at the same address
	// keepsConnections leaves the open connections to an incarnation that begins at once, as if
	// requests that are on their way had been sent on new ones.
	keepsConnections bool
}

const (
	soakMinDowntime = 500 * time.Millisecond
	soakMaxDowntime = 2 * time.Second
)

func randomCrash(r *rand.Rand) soakCrash {
	return soakCrash{
		downtime: randomDuration(r, soakMinDowntime, soakMaxDowntime), silent: r.Intn(4) == 0, newID: r.Intn(4) == 0,
	}
}

// crash ends the incarnation with all its runs, as a failure does, and begins the next one
// after the downtime.
func (w *soakWorker) crash(how soakCrash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashLocked(how)
}

// crashLocked is crash for callers that hold the lock.
func (w *soakWorker) crashLocked(how soakCrash) {
	if w.down {
		return
	}
	for task := range w.runs {
		w.checker.workerCrashed(task)
	}
	for _, task := range w.unacknowledgedTasks() {
		w.cell.crashedUnder.Store(task, true)
	}
	w.endIncarnation()
	if how.downtime == 0 {
		if !how.keepsConnections {
			w.link.CloseConnections()
		}
		w.beginIncarnation()
		return
	}
	w.down = true
	if how.silent {
		w.link.SetFault(relay.Fault{DropToTarget: true, DropToClient: true})
	} else {
		w.link.StopListening()
		w.link.CloseConnections()
	}
	time.AfterFunc(how.downtime, func() { w.comeBack(how) })
}

// comeBack begins the next incarnation after a crash.
func (w *soakWorker) comeBack(how soakCrash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how.newID {
		w.incarnations++
		w.id = fmt.Sprintf("%s-%d", w.name, w.incarnations)
	}
	w.down = false
	w.beginIncarnation()
	if how.silent {
		w.link.SetFault(relay.Fault{})
		w.link.CloseConnections()
	} else if err := w.link.ListenAgain(context.Background()); err != nil {
		w.checker.recordViolation("%s: %v", w.id, err)
	}
}

// leave ends the incarnation after its drain and begins the next one.
func (w *soakWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || !w.drainRequested { // crashed before the end of the drain
		return
	}
	w.endIncarnation()
	w.link.CloseConnections()
	w.beginIncarnation()
}

// endIncarnation ends all runs without a result. The caller holds the lock.
func (w *soakWorker) endIncarnation() {
	for task, r := range w.runs {
		w.checker.taskEnded(task, w.name, "")
		r.memberEnded("")
	}
	w.runs = make(map[string]*soakRun)
}

// crashWith makes the run crash the worker after the delay, if it still runs then.
func (w *soakWorker) crashWith(r *soakRun, delay time.Duration) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.task] == r {
			w.crashLocked(randomCrash(w.random))
		}
	})
}
