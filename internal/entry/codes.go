package entry

// Stable codes of the entry's own answers.
const (
	codeNoRoute             = "no-route"             // no service serves the path
	codeMethodNotAllowed    = "method-not-allowed"   // the route does not take the method
	codeBadRequest          = "bad-request"          // a header or the path is malformed
	codeBodyTooLarge        = "body-too-large"       // the body is longer than the route's kind allows
	codeBodyUnreadable      = "body-unreadable"      // the caller did not send the whole body
	codeLeaseExpired        = "lease-expired"        // the entry is cut off from control
	codeQueueFull           = "queue-full"           // more urgent requests fill the queue
	codeDeadlineUnreachable = "deadline-unreachable" // the queue is too long for the deadline
	codeDeadlinePassed      = "deadline-passed"      // no slot came free in time
	codeEndpointUnreachable = "endpoint-unreachable" // no connection to any endpoint
	codeNoAnswer            = "no-answer"            // the endpoint broke off or was silent
	codeKeyReused           = "key-reused"           // the key was used with another request
	codeNotRun              = "not-run"              // the earlier request with the key was not run, nor was this one
	codeInProgress          = "in-progress"          // an earlier request with the key is in flight
	codeOutcomeUnknown      = "outcome-unknown"      // the entry that sent the request is gone
	codeKeyExpired          = "key-expired"          // the key is older than keys are kept
	codeAnswerNotKept       = "answer-not-kept"      // the request was done, its answer was too large to keep
	codeControlUnavailable  = "control-unavailable"  // no claim could be committed
	codeClaimsFull          = "claims-full"          // the claim table is full
	codeCallerGone          = "caller-gone"          // the caller closed its connection
	codeMemoryExhausted     = "memory-exhausted"     // too many bodies are buffered
)
