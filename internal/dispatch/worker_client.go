package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// WorkerClient sends requests to workers. After any error except
// ErrOtherIncarnation, ErrNoListener and ErrNotSent, the request may have been
// executed or may still be.
type WorkerClient interface {
	Start(ctx context.Context, worker *apiv1.PoolWorker, request StartRequest) (Response, error)
	Stop(ctx context.Context, worker *apiv1.PoolWorker, request StopRequest) (Response, error)
	Hold(ctx context.Context, worker *apiv1.PoolWorker, request HoldRequest) (HoldResponse, error)
}

// Errors of a WorkerClient. The request had no effect.
var (
	ErrOtherIncarnation = errors.New("another incarnation answers at the worker's address")
	ErrNoListener       = errors.New("nothing listens at the worker's address")
	ErrNotSent          = errors.New("no connection to the worker was available in time")
)

// ErrConnectionLost is an error of a WorkerClient: the connection ended before there was a
// response. The request may have been executed, and the worker may have ended.
var ErrConnectionLost = errors.New("the connection to the worker was lost")

// StartRequest tells a worker to run a task.
type StartRequest struct {
	Task       string // text form of the task name
	Run        int64
	Payload    []byte
	Deadline   int64  // end of the lease, in ms on the worker's clock
	Token      uint64 // fencing token
	Checkpoint string // to resume from; "": start from the beginning
	Ticket     string // of the policy service; "": none needed
}

// StopRequest tells a worker to end a run and to refuse it if its start request
// arrives later.
type StopRequest struct {
	Task  string
	Run   int64
	Token uint64
}

// HoldRequest renews the leases of all runs on a worker, acknowledges ended runs
// and asks for the active and ended ones. It is a long poll.
//
// A cursor is only sent over the connection over which the worker's last response to a Hold request
// came: no other incarnation can get it. If there is no such connection, only the token is sent.
type HoldRequest struct {
	Token    uint64 // fencing token
	Cursor   int64  // ends up to this sequence are committed; the worker may forget them; 0: none
	Deadline int64  // end of the leases, in ms on the worker's clock; 0: don't renew
	WaitMs   int64  // how long the worker may wait for a run to end before it responds
}

// Refusal is the reason why a worker refused a request.
type Refusal string

// Refusals. A refused request has had no effect.
const (
	Accepted              Refusal = ""
	RefusedStaleToken     Refusal = "fence"       // the worker has seen a higher fencing token
	RefusedSuperseded     Refusal = "superseded"  // this run or a later one of the task has ended or was stopped there
	RefusedDeadlinePassed Refusal = "late"        // the lease deadline has passed
	RefusedNoCapacity     Refusal = "room"        // too little free capacity
	RefusedInvalidTicket  Refusal = "ticket"      // the policy service's ticket is missing or no longer valid
	RefusedUnhealthy      Refusal = "unhealthy"   // the worker accepts no starts at present
	RefusedBadRequest     Refusal = "bad request" // the worker does not understand the request
)

// Response is a worker's response to a start or stop request.
type Response struct {
	ClockMs int64 // reading of the worker's clock; 0: not sent
	Refusal Refusal
}

// HoldResponse lists the runs that a worker knows.
type HoldResponse struct {
	ClockMs    int64 // reading of the worker's clock; 0: not sent
	BornUnixMs int64 // start time of the incarnation
	Fenced     bool  // the worker has seen a higher fencing token; other fields are not set
	Active     []ActiveRun
	Ended      []EndedRun // not acknowledged yet, in the order of their sequences
	Partial    bool       // more runs may have ended than Ended lists
	// Unacknowledged is set if the request had a cursor that was not sent.
	Unacknowledged bool
}

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	Task       string // text form of the task name
	Run        int64
	Checkpoint string // last one saved; "": none
	Percent    int64  // current speed, in percent of full speed
}

// EndedRun is a run that has ended.
type EndedRun struct {
	Sequence   int64 // increases within an incarnation
	Task       string
	Run        int64
	Outcome    apiv1.RunOutcome
	Checkpoint string
}
