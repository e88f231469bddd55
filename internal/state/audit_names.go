package state

// Actions of audit records.
const (
	ActionForm          = "form"
	ActionPublish       = "publish"
	ActionAnnounce      = "announce"
	ActionWithdraw      = "withdraw"
	ActionExpire        = "expire"
	ActionMemberAdd     = "member-add"
	ActionMemberPromote = "member-promote"
	ActionMemberRemove  = "member-remove"
)

// Outcomes of audit records.
const (
	OutcomeApplied        = "applied"
	OutcomeAlreadyApplied = "already-applied"
	OutcomeSuperseded     = "superseded"
	OutcomeConflict       = "conflict"
	OutcomeRefused        = "refused"
	OutcomeFailed         = "failed"
)

// ObjectConfiguration is the object of records about publications.
const ObjectConfiguration = "configuration"
