package storage

import (
	"io"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// Options configures a Store.
type Options struct {
	FileSystem  FileSystem // nil: Disk
	Folder      string
	SegmentSize int64 // bytes after which a new segment begins; 0: defaultSegmentSize
	// DurableEnd is that of this process's previous store of the folder, whose last
	// change failed. Records after it are discarded. Nil: there was none.
	DurableEnd *Position
}

const (
	defaultSegmentSize = 8 << 20 // bytes
	lockName           = "lock"
)

// State is the content of a data folder when it was opened.
type State struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot    // nil if the folder has none
	Entries   []*apiv1.LogEntry // follow the snapshot without a gap
}

// Store is an open data folder. Append, Sync, InstallSnapshot, Compact, Form and
// Join must be called from one goroutine; the other methods except Close may be
// called concurrently with them.
type Store struct {
	fs         FileSystem
	folder     string
	folderLock io.Closer
	wal        *wal

	snapshotMu sync.Mutex // held while snapshot files are read, written or removed

	mu         sync.Mutex
	identity   Identity
	durableEnd Position
	failure    error // of the first failed change; nil if none
}

// Open locks and reads the data folder, which it creates if it does not exist.
// It returns a DamageError if the folder's content can't be what was synced, and an error
// marked with ErrUnavailable if the disk refuses an operation.
func Open(options Options) (*Store, *State, error) {
	if options.FileSystem == nil {
		options.FileSystem = Disk{}
	}
	if options.SegmentSize == 0 {
		options.SegmentSize = defaultSegmentSize
	}
	s := &Store{fs: options.FileSystem, folder: options.Folder}
	if err := s.fs.MkdirAll(s.folder); err != nil {
		return nil, nil, errors.Mark(errors.Wrapf(err, "creating folder %q", s.folder), ErrUnavailable)
	}
	folderLock, err := s.fs.Lock(filepath.Join(s.folder, lockName))
	if err != nil {
		return nil, nil, err
	}
	s.folderLock = folderLock
	state, err := s.load(options)
	if err != nil {
		return nil, nil, errors.CombineErrors(markUnavailable(err), s.Close())
	}
	s.recordDurableEnd()
	return s, state, nil
}

// markUnavailable marks an error other than damage with ErrUnavailable.
func markUnavailable(err error) error {
	var damage *DamageError
	if errors.As(err, &damage) {
		return err
	}
	return errors.Mark(err, ErrUnavailable)
}

// load deletes what unfinished operations left behind, and reads the identity,
// the newest snapshot and the log.
func (s *Store) load(options Options) (*State, error) {
	// The process may have been killed between a rename and the folder's sync. Nothing may be built on a name that a loss of
	// power can still take back.
	if err := s.fs.SyncFolder(s.folder); err != nil {
		return nil, errors.Wrapf(err, "syncing folder %q", s.folder)
	}
	if err := removeTemporaryFiles(s.fs, s.folder); err != nil {
		return nil, err
	}
	if options.DurableEnd != nil {
		if err := discardAfter(s.fs, s.folder, *options.DurableEnd); err != nil {
			return nil, errors.Wrap(err, "discarding records that were not synced")
		}
	}
	identity, err := openIdentity(s.fs, s.folder)
	if err != nil {
		return nil, err
	}
	s.identity = identity
	if identity.ClusterID == "" {
		if err := removeStateFiles(s.fs, s.folder); err != nil {
			return nil, err
		}
	}
	snapshot, err := readNewestSnapshot(s.fs, s.folder)
	if err != nil {
		return nil, err
	}
	log, replayed, err := recoverWAL(s.fs, s.folder, options.SegmentSize)
	if err != nil {
		return nil, err
	}
	s.wal = log
	if err := s.alignLogWithSnapshot(replayed, snapshot); err != nil {
		return nil, err
	}
	return &State{HardState: replayed.hardState, Snapshot: snapshot, Entries: replayed.entries}, nil
}

// alignLogWithSnapshot resets the log if it does not continue the snapshot, and
// discards the replayed entries that the snapshot covers. It returns a
// DamageError if entries after the snapshot or committed entries are missing.
func (s *Store) alignLogWithSnapshot(replayed *logReplay, snapshot *raft.Snapshot) error {
	index := snapshot.Index()
	path := s.wal.currentSegment().path(s.folder)
	if replayed.hasGapAfter(index) {
		return &DamageError{Path: path, Reason: "the snapshot that the log continues is missing"}
	}
	if snapshot != nil && !replayed.matchesSnapshot(snapshot.Meta) {
		// A crash occurred after a snapshot from the leader was stored and before the
		// log was reset.
		replayed.entries = nil
		replayed.lastReset = &resetMark{index: index, term: snapshot.Meta.GetTerm()}
		s.wal.bufferReset(snapshot.Meta)
		if err := s.wal.sync(); err != nil {
			return err
		}
	}
	replayed.discardThrough(index)
	if replayed.hardState.Commit > max(index, replayed.lastIndex()) {
		return &DamageError{Path: path, Reason: "committed entries are missing at the end of the log"}
	}
	return nil
}
