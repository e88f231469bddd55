package entry

// Codes of the entry's own responses. Callers may rely on them.
const (
	codeNoRoute             = "no-route"             // no service serves the path
	codeMethodNotAllowed    = "method-not-allowed"   // the route does not accept the method
	codeBadRequest          = "bad-request"          // a header or the path is malformed
	codeBodyTooLarge        = "body-too-large"       // the body is longer than allowed, which is less with an idempotency key
	codeBodyUnreadable      = "body-unreadable"      // the caller's body could not be read completely
	codeLeaseExpired        = "lease-expired"        // the entry is cut off from control
	codeQueueFull           = "queue-full"           // more urgent requests fill the queue
	codeDeadlineUnreachable = "deadline-unreachable" // the queue is too long for the deadline
	codeDeadlinePassed      = "deadline-passed"      // the deadline passed before the request was sent
	codeEndpointUnreachable = "endpoint-unreachable" // no connection to any endpoint
	codeNoAnswer            = "no-answer"            // the endpoint gave no complete response
	codeEndpointCrashes     = "endpoint-crashes"     // endpoints closed their connections while the request was under way
	codeKeyReused           = "key-reused"           // the key was used with another request
	codeNotRun              = "not-run"              // neither the earlier request with the key nor this one was run
	codeInProgress          = "in-progress"          // an earlier request with the key is in flight
	codeOutcomeUnknown      = "outcome-unknown"      // an earlier request with the key was sent; its outcome is unknown
	codeKeyExpired          = "key-expired"          // the key is older than the retention of keys
	codeAnswerNotKept       = "answer-not-kept"      // the request was done before; its response was too large to keep
	codeControlUnavailable  = "control-unavailable"  // the claim could not be committed
	codeClaimsFull          = "claims-full"          // the claim table is full
	codeCallerGone          = "caller-gone"          // the caller closed its connection
	codeMemoryExhausted     = "memory-exhausted"     // the memory for buffered bodies is in use
)
