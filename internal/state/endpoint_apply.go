package state

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxEndpointItems bounds the announcements, withdrawals and expiries of one
// endpoint command.
const maxEndpointItems = 4096

// applyEndpoint applies the announcements, then the withdrawals and expiries of one
// command. All its changes share one revision.
func (s *Store) applyEndpoint(nowUnixMs int64, command *apiv1.EndpointCommand) *apiv1.CommandResult {
	items := len(command.GetAnnounce()) + len(command.GetWithdraw()) + len(command.GetExpire())
	if items > maxEndpointItems {
		return refuse(RefusalInvalid, fmt.Sprintf("%d endpoint changes exceed the bound of %d", items, maxEndpointItems))
	}
	s.endpoints.pruneWithdrawn(nowUnixMs)
	applier := &endpointApplier{store: s, nowUnixMs: nowUnixMs, revision: s.revision.current() + 1}
	for _, endpoint := range command.GetAnnounce() {
		applier.announce(endpoint)
	}
	for _, id := range command.GetWithdraw() {
		applier.withdraw(id)
	}
	for _, expiry := range command.GetExpire() {
		applier.expire(expiry)
	}
	if applier.changed {
		s.revision.advance(applier.revision)
	}
	result := &apiv1.EndpointResult{Revision: s.revision.current(), Refused: applier.refused}
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Endpoint{Endpoint: result}}
}

// endpointApplier applies the items of one endpoint command and collects the
// outcome.
type endpointApplier struct {
	store     *Store
	nowUnixMs int64
	revision  uint64
	changed   bool
	refused   []*apiv1.EndpointRefusal
}

func (a *endpointApplier) announce(endpoint *apiv1.Endpoint) {
	changed, refusal := a.store.endpoints.announce(endpoint, a.revision)
	if refusal != nil {
		a.refused = append(a.refused, refusal)
		a.audit(ActionAnnounce, endpoint.GetId(), OutcomeRefused, refusal.GetDetail())
		return
	}
	if changed {
		a.changed = true
		detail := fmt.Sprintf("%s at %s", endpoint.GetService(), endpoint.GetAddress())
		a.audit(ActionAnnounce, endpoint.GetId(), OutcomeApplied, detail)
	}
}

func (a *endpointApplier) withdraw(id string) {
	if err := validateEndpointID(id); err != nil {
		a.refused = append(a.refused, refuseEndpoint(id, RefusalInvalid, err.Error()))
		return
	}
	if a.store.endpoints.withdraw(id, a.nowUnixMs, a.revision) {
		a.changed = true
		a.audit(ActionWithdraw, id, OutcomeApplied, "")
	}
}

func (a *endpointApplier) expire(expiry *apiv1.EndpointExpiry) {
	if a.store.endpoints.expire(expiry, a.revision) {
		a.changed = true
		a.audit(ActionExpire, expiry.GetId(), OutcomeApplied, "its lease ran out")
	}
}

func (a *endpointApplier) audit(action, id, outcome, detail string) {
	record := &apiv1.AuditRecord{
		Actor:   id,
		Action:  action,
		Object:  id,
		Outcome: outcome,
		Detail:  detail,
	}
	if outcome == OutcomeApplied {
		record.Revision = a.revision
	}
	a.store.audit.add(a.nowUnixMs, record)
}
