package state

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Snapshot returns the encoded state. Equal states have equal encodings. It must not
// run concurrently with Apply.
func (s *Store) Snapshot() ([]byte, error) {
	snapshot := &apiv1.StateSnapshot{
		ClusterId:     s.ClusterID(),
		Revision:      s.revision.current(),
		NowUnixMs:     s.nowUnixMs.Load(),
		AppliedIndex:  s.appliedIndex.Load(),
		Configuration: s.configuration.snapshot(),
		Endpoints:     s.endpoints.snapshot(),
		Audit:         s.audit.snapshot(),
	}
	var err error
	if s.claims != nil {
		if snapshot.Claims, err = s.claims.Snapshot(); err != nil {
			return nil, errors.Wrap(err, "snapshot claims")
		}
	}
	if s.tasks != nil {
		if snapshot.Tasks, err = s.tasks.Snapshot(); err != nil {
			return nil, errors.Wrap(err, "snapshot tasks")
		}
	}
	if s.jobs != nil {
		if snapshot.Jobs, err = s.jobs.Snapshot(); err != nil {
			return nil, errors.Wrap(err, "snapshot jobs")
		}
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the whole state by that of a snapshot, except that it never lowers
// the revision. It must not run concurrently with Apply. After an error the state may
// be restored in part.
func (s *Store) Restore(encoded []byte) error {
	snapshot := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if s.claims != nil {
		if err := s.claims.Restore(snapshot.GetClaims()); err != nil {
			return errors.Wrap(err, "restore claims")
		}
	}
	if s.tasks != nil {
		if err := s.tasks.Restore(snapshot.GetTasks()); err != nil {
			return errors.Wrap(err, "restore tasks")
		}
	}
	if s.jobs != nil {
		if err := s.jobs.Restore(snapshot.GetJobs()); err != nil {
			return errors.Wrap(err, "restore jobs")
		}
	}
	s.configuration.restore(snapshot.GetConfiguration())
	s.endpoints.restore(snapshot.GetEndpoints())
	s.audit.restore(snapshot.GetAudit())
	s.mu.Lock()
	s.clusterID = snapshot.GetClusterId()
	s.mu.Unlock()
	s.nowUnixMs.Store(snapshot.GetNowUnixMs())
	s.appliedIndex.Store(snapshot.GetAppliedIndex())
	s.revision.advance(snapshot.GetRevision())
	return nil
}
