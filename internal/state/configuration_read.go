package state

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Configuration returns copies of the configuration in force and of its publication.
// Before the first publication the latter is nil and the configuration empty.
func (s *Store) Configuration() (*apiv1.Configuration, *apiv1.Publication) {
	configuration, publication := s.configuration.read()
	return proto.CloneOf(configuration), proto.CloneOf(publication)
}

// ConfigurationRevision returns the revision of the configuration in force, or 0
// before the first publication.
func (s *Store) ConfigurationRevision() uint64 {
	_, publication := s.configuration.read()
	return publication.GetRevision()
}

// RoutingView is the part of the configuration that entries need, with its
// revisions.
type RoutingView struct {
	Configuration   *apiv1.Configuration // shared and immutable
	ChangedRevision uint64               // at which this part last changed
	InForceRevision uint64               // of the whole configuration in force
}

// Routing returns the part of the configuration in force that entries need.
func (s *Store) Routing() RoutingView {
	configuration, changedRevision, inForceRevision := s.configuration.readRouting()
	return RoutingView{Configuration: configuration, ChangedRevision: changedRevision, InForceRevision: inForceRevision}
}
