package claims

// Refusal codes of apiv1.ClaimResult.
const (
	RefusalInvalid    = "invalid"     // the change lacks a key, an entry, an attempt or a valid outcome
	RefusalTaken      = "taken"       // another attempt holds the key
	RefusalSettled    = "settled"     // the key's outcome is recorded
	RefusalOtherBody  = "other-body"  // the key was taken with another request digest
	RefusalAborted    = "aborted"     // the attempt was aborted
	RefusalNotHolder  = "not-holder"  // the attempt does not hold the key
	RefusalFull       = "full"        // the table holds the maximum number of keys
	RefusalKeyExpired = "key-expired" // the key's own time is further in the past than the retention
	RefusalKeyFuture  = "key-future"  // the key's own time is in the future
	RefusalAbortLimit = "abort-limit" // too many attempts of the key were aborted
)
