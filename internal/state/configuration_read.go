package state

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Configuration returns a copy of the configuration in force and its
// publication, which is nil before the first one.
func (s *Store) Configuration() (*apiv1.Configuration, *apiv1.Publication) {
	configuration, publication := s.configuration.read()
	return proto.CloneOf(configuration), proto.CloneOf(publication)
}

// ConfigurationRevision returns the revision of the configuration in force,
// zero before the first publication.
func (s *Store) ConfigurationRevision() uint64 {
	_, publication := s.configuration.read()
	return publication.GetRevision()
}

// RoutingView is what entries need of the configuration.
type RoutingView struct {
	Configuration   *apiv1.Configuration // shared; must not be changed
	ChangedRevision uint64               // revision at which the view last changed
	InForceRevision uint64               // revision of the whole configuration
}

// Routing returns the part of the configuration that entries need.
func (s *Store) Routing() RoutingView {
	configuration, changedRevision, inForceRevision := s.configuration.readRouting()
	return RoutingView{Configuration: configuration, ChangedRevision: changedRevision, InForceRevision: inForceRevision}
}
