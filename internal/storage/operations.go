package storage

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// runUnlessFailed runs the change, or returns the error of an earlier failed one.
// A failure is final, since the content of the disk is then unknown.
func (s *Store) runUnlessFailed(change func() error) error {
	if failure := s.Failure(); failure != nil {
		return failure
	}
	err := change()
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = markUnavailable(errors.Wrapf(err, "data folder %q", s.folder))
	}
	return s.failure
}

// Failure returns the error that made the data folder unusable; nil if none.
func (s *Store) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Identity returns the member's identity.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Append adds entries and the hard state to the log; they are durable after the
// next Sync. The entries replace any earlier ones from the first one's index on.
func (s *Store) Append(entries []*apiv1.LogEntry, state raft.HardState) error {
	return s.runUnlessFailed(func() error { return s.wal.append(entries, state) })
}

// Sync returns once everything appended is durable.
func (s *Store) Sync() error {
	return s.runUnlessFailed(s.syncLog)
}

// syncLog syncs the log and records its new durable end, also if beginning the next
// segment fails afterwards.
func (s *Store) syncLog() error {
	err := s.wal.sync()
	s.recordDurableEnd()
	return err
}

// InstallSnapshot durably replaces the log with a snapshot from the leader.
func (s *Store) InstallSnapshot(snapshot *raft.Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return err
	}
	return s.runUnlessFailed(func() error {
		s.wal.bufferReset(snapshot.Meta)
		return s.syncLog()
	})
}

// SaveSnapshot durably stores a snapshot that covers entries of the log. The log
// is unchanged.
func (s *Store) SaveSnapshot(snapshot *raft.Snapshot) error {
	return s.runUnlessFailed(func() error {
		s.snapshotMu.Lock()
		defer s.snapshotMu.Unlock()
		return writeSnapshot(s.fs, s.folder, snapshot)
	})
}

// LoadSnapshot returns the newest stored snapshot; nil if there is none.
func (s *Store) LoadSnapshot() (*raft.Snapshot, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	return readNewestSnapshot(s.fs, s.folder)
}

// Compact deletes the older snapshots, and the log segments that the stored
// snapshot at index makes unnecessary.
func (s *Store) Compact(index uint64) error {
	return s.runUnlessFailed(func() error {
		if err := s.removeOldSnapshots(); err != nil {
			return err
		}
		return s.wal.compact(index)
	})
}

func (s *Store) removeOldSnapshots() error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	return removeOldSnapshots(s.fs, s.folder)
}

// Form durably makes the member part of a new cluster whose log begins with the
// snapshot. After a crash the member either belongs to the cluster or is
// unchanged.
func (s *Store) Form(clusterID string, snapshot *raft.Snapshot) error {
	if err := s.InstallSnapshot(snapshot); err != nil {
		return err
	}
	return s.Join(clusterID)
}

// Join durably records the cluster that the member belongs to.
func (s *Store) Join(clusterID string) error {
	return s.runUnlessFailed(func() error {
		identity := Identity{Incarnation: s.Identity().Incarnation, ClusterID: clusterID}
		if err := writeIdentity(s.fs, s.folder, identity); err != nil {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.identity = identity
		return nil
	})
}

// Close closes the files and unlocks the folder. Appends that were not synced may
// be lost.
func (s *Store) Close() error {
	var err error
	if s.wal != nil && s.wal.file != nil {
		err = s.wal.close()
	}
	return errors.CombineErrors(err, s.folderLock.Close())
}
