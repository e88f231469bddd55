package state

import (
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxPublications is how many publications are kept to recognize resends. A resend
// of an older publication is a conflict and is not applied again.
const maxPublications = 4096

// configurationTable holds the configuration in force and the latest publications.
type configurationTable struct {
	mu              sync.RWMutex
	configuration   *apiv1.Configuration // immutable; replaced as a whole
	routing         *apiv1.Configuration // see Routing; immutable
	routingRevision uint64               // at which routing last changed
	publications    []*apiv1.Publication // oldest first; the last is in force
}

func newConfigurationTable() *configurationTable {
	empty := &apiv1.Configuration{}
	return &configurationTable{configuration: empty, routing: empty}
}

// publish puts the configuration in force and returns the names of the objects that
// changed. It changes nothing if the publication is a resend or its base revision is
// not the one in force; the result says which.
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

// setRouting recomputes routing and sets its revision only if routing changed. The
// caller holds the lock.
func (t *configurationTable) setRouting(revision uint64) {
	routing := Routing(t.configuration)
	if t.routingRevision == 0 || !proto.Equal(routing, t.routing) {
		t.routing = routing
		t.routingRevision = revision
	}
}

// resendResult returns the result for a publication that was applied before, with
// the revision it got then, or nil if it is new. A resend has the same content and
// base revision as the earlier publication. The same content on another base is a
// new publication, unless that content is in force. The caller holds the lock.
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

// conflictResult names as winner the publication that was applied on the same base,
// or the one in force if there is none or it is no longer kept. The caller holds the
// lock.
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

// publicationOnBase returns the publication that was applied on the base revision,
// or nil. There is at most one.
func (t *configurationTable) publicationOnBase(base uint64) *apiv1.Publication {
	for _, publication := range t.publications {
		if publication.GetBaseRevision() == base {
			return publication
		}
	}
	return nil
}

// inForce returns the publication in force, or nil before the first one.
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
