package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// RefusalCode is the stable name of a reason for which Apply refuses.
type RefusalCode string

// Refusal codes of CommandResult and EndpointRefusal.
const (
	RefusalInvalid       RefusalCode = "invalid"   // the command breaks a bound or a rule of form
	RefusalWithdrawn     RefusalCode = "withdrawn" // the endpoint's id was withdrawn
	RefusalTableFull     RefusalCode = "too-many"  // the table is full
	RefusalAlreadyFormed RefusalCode = "formed"    // the cluster has another identity
	RefusalNoTable       RefusalCode = "absent"    // no table takes the command
)

func refuse(code RefusalCode, text string) *apiv1.CommandResult {
	return &apiv1.CommandResult{RefusalCode: string(code), Refusal: text}
}
