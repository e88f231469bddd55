package state

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// applyPublish puts a valid configuration in force if its base revision is the one
// in force. It adds an audit record for every publication, also for a refused one.
func (s *Store) applyPublish(nowUnixMs int64, command *apiv1.PublishCommand) *apiv1.CommandResult {
	configuration := Canonical(command.GetConfiguration())
	record := &apiv1.AuditRecord{
		Actor:        command.GetOperator(),
		Action:       ActionPublish,
		Object:       ObjectConfiguration,
		BaseRevision: command.GetBaseRevision(),
	}
	digest, err := Digest(configuration)
	if err == nil {
		err = Validate(configuration)
	}
	if err != nil {
		record.Outcome = OutcomeRefused
		record.Detail = err.Error()
		s.audit.add(nowUnixMs, record)
		return refuse(RefusalInvalid, err.Error())
	}
	publication := &apiv1.Publication{
		Revision:     s.revision.current() + 1,
		BaseRevision: command.GetBaseRevision(),
		Digest:       digest,
		Operator:     truncate(command.GetOperator()),
		UnixMs:       nowUnixMs,
	}
	result, changed := s.configuration.publish(publication, configuration)
	if result.GetStatus() == apiv1.PublishResult_STATUS_APPLIED {
		if s.tasks != nil {
			s.tasks.Configure(nowUnixMs, configuration)
		}
		s.revision.advance(result.GetRevision())
		record.Changed = changed
	}
	setPublishOutcome(record, result)
	s.audit.add(nowUnixMs, record)
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Publish{Publish: result}}
}

// setPublishOutcome sets the revision, outcome and detail of the audit record.
func setPublishOutcome(record *apiv1.AuditRecord, result *apiv1.PublishResult) {
	record.Revision = result.GetRevision()
	switch result.GetStatus() {
	case apiv1.PublishResult_STATUS_APPLIED:
		record.Outcome = OutcomeApplied
	case apiv1.PublishResult_STATUS_ALREADY_APPLIED:
		record.Outcome = OutcomeAlreadyApplied
	case apiv1.PublishResult_STATUS_SUPERSEDED:
		record.Outcome = OutcomeSuperseded
		record.Detail = fmt.Sprintf("revision %d is in force", result.GetCurrentRevision())
	default:
		record.Outcome = OutcomeConflict
		record.Detail = fmt.Sprintf("%s published revision %d; revision %d is in force",
			result.GetWinner(), result.GetWinnerRevision(), result.GetCurrentRevision())
	}
}
