package claims

// Refusal codes of apiv1.ClaimResult.
const (
	RefusalInvalid    = "invalid"     // the change lacks a key, an entry or an attempt
	RefusalTaken      = "taken"       // another attempt holds the key
	RefusalSettled    = "settled"     // the key's outcome is recorded
	RefusalOtherBody  = "other-body"  // the key was used with another request
	RefusalAborted    = "aborted"     // this attempt was aborted before
	RefusalNotHolder  = "not-holder"  // the change names another attempt than the holder's
	RefusalFull       = "full"        // the table holds its maximum of keys
	RefusalKeyExpired = "key-expired" // the key names a time longer ago than the retention
	RefusalKeyFuture  = "key-future"  // the key names a time that has not come
	RefusalAbortLimit = "abort-limit" // too many attempts of the key were aborted
)
