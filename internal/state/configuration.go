package state

import (
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxPublications is how many publications are remembered. A resend of an
// older one is answered as a conflict; it is never applied again.
const maxPublications = 4096

// configurationTable keeps the desired state and what was published before.
type configurationTable struct {
	mu              sync.RWMutex
	configuration   *apiv1.Configuration // replaced as a whole, never changed
	routing         *apiv1.Configuration // the part that entries need
	routingRevision uint64
	publications    []*apiv1.Publication // oldest first; the last is in force
}

func newConfigurationTable() *configurationTable {
	empty := &apiv1.Configuration{}
	return &configurationTable{configuration: empty, routing: empty}
}

// publish answers a resend, refuses a stale base, or puts the configuration in
// force and returns the names of the objects that changed.
func (t *configurationTable) publish(
	publication *apiv1.Publication,
	configuration *apiv1.Configuration,
) (*apiv1.PublishResult, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result := t.resendResult(publication); result != nil {
		return result, nil
	}
	current := t.inForce()
	if publication.GetBaseRevision() != current.GetRevision() {
		return t.conflictResult(publication.GetBaseRevision()), nil
	}
	changed := changedNames(t.configuration, configuration)
	t.publications = append(t.publications, publication)
	if len(t.publications) > maxPublications {
		t.publications = t.publications[len(t.publications)-maxPublications:]
	}
	t.configuration = configuration
	t.setRouting(publication.GetRevision())
	return &apiv1.PublishResult{
		Status:          apiv1.PublishResult_STATUS_APPLIED,
		Revision:        publication.GetRevision(),
		CurrentRevision: publication.GetRevision(),
	}, changed
}

func (t *configurationTable) setRouting(revision uint64) {
	routing := Routing(t.configuration)
	if t.routingRevision == 0 || !proto.Equal(routing, t.routing) {
		t.routing = routing
		t.routingRevision = revision
	}
}

// resendResult returns the first answer to a publication that was applied
// before, or nil. A resend has the same content and the same base revision; the
// same content on another base is a new publication, unless it is in force.
func (t *configurationTable) resendResult(publication *apiv1.Publication) *apiv1.PublishResult {
	current := t.inForce()
	if current != nil && current.GetDigest() == publication.GetDigest() {
		return &apiv1.PublishResult{
			Status:          apiv1.PublishResult_STATUS_ALREADY_APPLIED,
			Revision:        current.GetRevision(),
			CurrentRevision: current.GetRevision(),
		}
	}
	earlier := t.publicationOnBase(publication.GetBaseRevision())
	if earlier == nil || earlier.GetDigest() != publication.GetDigest() {
		return nil
	}
	return &apiv1.PublishResult{
		Status:          apiv1.PublishResult_STATUS_SUPERSEDED,
		Revision:        earlier.GetRevision(),
		CurrentRevision: current.GetRevision(),
	}
}

func (t *configurationTable) conflictResult(base uint64) *apiv1.PublishResult {
	current := t.inForce()
	winner := t.publicationOnBase(base)
	if winner == nil {
		winner = current
	}
	return &apiv1.PublishResult{
		Status:          apiv1.PublishResult_STATUS_CONFLICT,
		CurrentRevision: current.GetRevision(),
		Winner:          winner.GetOperator(),
		WinnerDigest:    winner.GetDigest(),
		WinnerRevision:  winner.GetRevision(),
	}
}

// publicationOnBase returns the publication that took the base revision, or nil. There is
// at most one.
func (t *configurationTable) publicationOnBase(base uint64) *apiv1.Publication {
	for _, publication := range t.publications {
		if publication.GetBaseRevision() == base {
			return publication
		}
	}
	return nil
}

// inForce returns the last publication, or nil.
func (t *configurationTable) inForce() *apiv1.Publication {
	if len(t.publications) == 0 {
		return nil
	}
	return t.publications[len(t.publications)-1]
}

func (t *configurationTable) read() (*apiv1.Configuration, *apiv1.Publication) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.configuration, t.inForce()
}

func (t *configurationTable) readRouting() (routing *apiv1.Configuration, changedRevision, inForceRevision uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.routing, t.routingRevision, t.inForce().GetRevision()
}

func (t *configurationTable) snapshot() *apiv1.ConfigurationSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &apiv1.ConfigurationSnapshot{
		Configuration:   t.configuration,
		Publications:    append([]*apiv1.Publication(nil), t.publications...),
		RoutingRevision: t.routingRevision,
	}
}

func (t *configurationTable) restore(snapshot *apiv1.ConfigurationSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configuration = snapshot.GetConfiguration()
	if t.configuration == nil {
		t.configuration = &apiv1.Configuration{}
	}
	t.publications = snapshot.GetPublications()
	t.routing = Routing(t.configuration)
	t.routingRevision = snapshot.GetRoutingRevision()
}
