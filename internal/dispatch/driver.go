package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// WorkerClient gives orders to workers. Any error but those below means that the
// order may have been carried out, or may be later.
type WorkerClient interface {
	Start(ctx context.Context, worker *apiv1.PoolWorker, order StartRequest) (Response, error)
	Stop(ctx context.Context, worker *apiv1.PoolWorker, order StopRequest) (Response, error)
	Hold(ctx context.Context, worker *apiv1.PoolWorker, order HoldRequest) (HoldResponse, error)
}

// Errors of a Driver.
var (
	ErrOtherIncarnation = errors.New("another life answers at the worker's address")
	ErrNoListener       = errors.New("nothing listens at the worker's address")
)

// StartRequest tells a worker to run a task.
type StartRequest struct {
	Task       string
	Run        int64
	Payload    []byte
	Deadline   int64 // ms on the worker's clock
	Token      uint64
	Checkpoint string
	Ticket     string
}

// StopRequest tells a worker to end a run, also one that has not arrived yet.
type StopRequest struct {
	Task  string
	Run   int64
	Token uint64
}

// HoldRequest extends the leases of all that runs on a worker and asks what runs
// there and what has ended.
type HoldRequest struct {
	Token    uint64
	Cursor   int64 // ends up to this number are recorded and may be forgotten
	Deadline int64 // ms on the worker's clock; 0: no extension
	WaitMs   int64 // for an end
}

// Refusal is why a worker did not do as told.
type Refusal string

// Refusals. With each of them the worker has done nothing.
const (
	Accepted              Refusal = ""
	RefusedStaleToken     Refusal = "fence"       // a higher token was seen
	RefusedSuperseded     Refusal = "superseded"  // that run or a later one has ended there
	RefusedDeadlinePassed Refusal = "late"        // the deadline has passed
	RefusedNoCapacity     Refusal = "room"        // no capacity
	RefusedInvalidTicket  Refusal = "ticket"      // the policy's ticket is missing or no longer valid
	RefusedUnhealthy      Refusal = "unhealthy"   // the worker takes nothing at present
	RefusedBadRequest     Refusal = "bad request" // the worker does not understand the order
)

// Response is a worker's answer to an order.
type Response struct {
	ClockMs int64 // of the worker; 0: not told
	Refusal Refusal
}

// HoldResponse is what a worker says of the runs that it knows.
type HoldResponse struct {
	ClockMs    int64
	BornUnixMs int64
	Fenced     bool // a higher token was seen; nothing else is told
	Active     []ActiveRun
	Ended      []EndedRun
}

// ActiveRun is a run under way.
type ActiveRun struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int64 // of full pace
}

// EndedRun is a run that ended.
type EndedRun struct {
	Sequence   int64 // rises within a life
	Task       string
	Run        int64
	Outcome    apiv1.RunOutcome
	Checkpoint string
}
