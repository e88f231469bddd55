package control

import (
	"context"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// PublishCatalog puts a catalog in force unless one of the same or a newer version
// already is. It returns once that is committed. It sets RequiresKeys if this process's
// settings do.
//
// Any process acknowledges a version that is not above the one that it has applied:
// applied entries are committed, so the leader's answer would be the same. An operator
// whose acknowledgement was lost thus gets one from every reachable process, and not
// only from the leader. Errors of the other processes are marked as ErrNotLeader.
func (s *Server) PublishCatalog(ctx context.Context, catalog *apiv1.Catalog) error {
	before := s.jobsTable().Catalog().Version()
	if catalog.GetVersion() <= before {
		s.Logger.Info("catalog already in force", "sent_version", catalog.GetVersion(), "version_in_force", before)
		return nil
	}
	if _, err := s.dispatchLeadership(); err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	catalog.RequiresKeys = catalog.GetRequiresKeys() || s.RequireKeys
	result, err := s.proposeJobs(ctx, &apiv1.JobsCommand{Catalog: catalog})
	if err != nil {
		return errors.Mark(err, ErrNotLeader)
	}
	s.Logger.Info("catalog published", "sent_version", catalog.GetVersion(), "version_before", before,
		"version_in_force", result.GetCatalogVersion(), "queues", len(catalog.GetQueues()),
		"workspaces", len(catalog.GetWorkspaces()))
	return nil
}

// PublishedCatalog returns the newest catalog as it was sent, or nil if there is
// none. Its errors are marked as ErrNotLeader.
func (s *Server) PublishedCatalog(ctx context.Context) ([]byte, error) {
	l, err := s.dispatchLeadership()
	if err != nil {
		return nil, errors.Mark(err, ErrNotLeader)
	}
	if err := l.confirm(ctx); err != nil {
		return nil, errors.Mark(err, ErrNotLeader)
	}
	return s.jobsTable().Catalog().Document(), nil
}
