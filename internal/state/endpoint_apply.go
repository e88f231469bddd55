package state

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxEndpointItems bounds the items of one endpoint command.
const maxEndpointItems = 4096

// applyEndpoint changes the set of endpoints. All changes of one command share
// one revision.
func (s *Store) applyEndpoint(now int64, command *apiv1.EndpointCommand) *apiv1.CommandResult {
	items := len(command.GetAnnounce()) + len(command.GetWithdraw()) + len(command.GetExpire())
	if items > maxEndpointItems {
		return refuse(RefusalInvalid, fmt.Sprintf("%d endpoint changes exceed the bound of %d", items, maxEndpointItems))
	}
	s.endpoints.forget(now)
	change := &endpointChange{store: s, now: now, revision: s.revision.current() + 1}
	for _, endpoint := range command.GetAnnounce() {
		change.announce(endpoint)
	}
	for _, id := range command.GetWithdraw() {
		change.withdraw(id)
	}
	for _, expiry := range command.GetExpire() {
		change.expire(expiry)
	}
	if change.changed {
		s.revision.advance(change.revision)
	}
	result := &apiv1.EndpointResult{Revision: s.revision.current(), Refused: change.refused}
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Endpoint{Endpoint: result}}
}

// endpointChange is the work of one endpoint command.
type endpointChange struct {
	store    *Store
	now      int64
	revision uint64
	changed  bool
	refused  []*apiv1.EndpointRefusal
}

func (c *endpointChange) announce(endpoint *apiv1.Endpoint) {
	changed, refusal := c.store.endpoints.announce(endpoint, c.revision)
	if refusal != nil {
		c.refused = append(c.refused, refusal)
		c.audit(ActionAnnounce, endpoint.GetId(), OutcomeRefused, refusal.GetDetail())
		return
	}
	if changed {
		c.changed = true
		detail := fmt.Sprintf("%s at %s", endpoint.GetService(), endpoint.GetAddress())
		c.audit(ActionAnnounce, endpoint.GetId(), OutcomeApplied, detail)
	}
}

func (c *endpointChange) withdraw(id string) {
	if err := validateEndpointID(id); err != nil {
		c.refused = append(c.refused, refuseEndpoint(id, RefusalInvalid, err.Error()))
		return
	}
	if c.store.endpoints.withdraw(id, c.now, c.revision) {
		c.changed = true
		c.audit(ActionWithdraw, id, OutcomeApplied, "")
	}
}

func (c *endpointChange) expire(expiry *apiv1.EndpointExpiry) {
	if c.store.endpoints.expire(expiry, c.revision) {
		c.changed = true
		c.audit(ActionExpire, expiry.GetId(), OutcomeApplied, "its lease ran out")
	}
}

func (c *endpointChange) audit(action, id, outcome, detail string) {
	record := &apiv1.AuditRecord{
		Actor:   id,
		Action:  action,
		Object:  id,
		Outcome: outcome,
		Detail:  detail,
	}
	if outcome == OutcomeApplied {
		record.Revision = c.revision
	}
	c.store.audit.add(c.now, record)
}
