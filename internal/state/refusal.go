package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// RefusalCode is the stable name of the reason for which Apply refused a command or
// an item of it.
type RefusalCode string

// Refusal codes of CommandResult and EndpointRefusal.
const (
	RefusalInvalid       RefusalCode = "invalid"   // the command is malformed or exceeds a bound
	RefusalWithdrawn     RefusalCode = "withdrawn" // the endpoint's id was withdrawn
	RefusalTableFull     RefusalCode = "too-many"  // the table of endpoints is full
	RefusalAlreadyFormed RefusalCode = "formed"    // the cluster was formed with another identity
	RefusalNoTable       RefusalCode = "absent"    // the table of the command is not set in Options
)

func refuse(code RefusalCode, text string) *apiv1.CommandResult {
	return &apiv1.CommandResult{RefusalCode: string(code), Refusal: text}
}
