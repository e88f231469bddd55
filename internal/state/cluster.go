package state

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// ClusterID returns the identity of the cluster, or "" until the cluster is formed.
func (s *Store) ClusterID() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clusterID
}

// applyFormCluster sets the identity of the cluster once. The same identity again
// changes nothing; another one is refused.
func (s *Store) applyFormCluster(nowUnixMs int64, form *apiv1.FormCluster) *apiv1.CommandResult {
	if form.GetClusterId() == "" {
		return refuse(RefusalInvalid, "the cluster's identity is empty")
	}
	currentID := s.ClusterID()
	if currentID == form.GetClusterId() {
		return &apiv1.CommandResult{}
	}
	record := &apiv1.AuditRecord{
		Actor:   form.GetOperator(),
		Action:  ActionForm,
		Object:  form.GetClusterId(),
		Outcome: OutcomeApplied,
	}
	if currentID != "" {
		record.Outcome = OutcomeRefused
		s.audit.add(nowUnixMs, record)
		return refuse(RefusalAlreadyFormed, fmt.Sprintf("the cluster was formed as %q", currentID))
	}
	s.mu.Lock()
	s.clusterID = form.GetClusterId()
	s.mu.Unlock()
	s.audit.add(nowUnixMs, record)
	return &apiv1.CommandResult{}
}
