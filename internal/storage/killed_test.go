package storage

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// A process was killed between a change of a name and the folder's sync. The next one built on what it found, and a loss of
// power took the change back: a joined cluster, or the snapshot that the log continues.
func TestNamesThatWereUsedSurviveALossOfPower(t *testing.T) {
	snapshot := &raft.Snapshot{
		Meta: &apiv1.SnapshotMeta{Index: 20, Term: 1, Membership: &apiv1.Membership{}}, Data: []byte("state"),
	}
	changes := map[string]func(*Store) error{
		"a cluster is joined":             func(s *Store) error { return s.Join("cluster-b") },
		"a snapshot is saved":             func(s *Store) error { return s.SaveSnapshot(snapshot) },
		"the leader's state is installed": func(s *Store) error { return s.InstallSnapshot(snapshot) },
		"a cluster is formed":             func(s *Store) error { return s.Form("cluster-b", snapshot) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			for operations := 0; killedAfter(t, operations, change); operations++ {
			}
		})
	}
	t.Run("the first identity is created", func(t *testing.T) {
		is := is.New(t)
		for operations := 0; ; operations++ {
			m := newMemoryFileSystem()
			m.killAfter(operations)
			_, _, err := openStore(m)
			is.True(err == nil || errors.Is(err, errKilled))
			checkSurvives(t, m)
			if err == nil {
				return
			}
		}
	})
}

// killedAfter kills a process after the number of file operations of a change, and checks that what the next one finds
// survives a loss of power. It reports whether the change takes more operations.
func killedAfter(t *testing.T, operations int, change func(*Store) error) bool {
	t.Helper()
	is := is.New(t)
	m, store := newFilledStore(t, 3)
	m.killAfter(operations)
	err := change(store)
	is.True(err == nil || errors.Is(err, errKilled))
	checkSurvives(t, m)
	return err != nil
}

// checkSurvives opens the folder after its process was killed and again after a loss of power of which nothing survives that
// was not synced.
func checkSurvives(t *testing.T, m *memoryFileSystem) {
	t.Helper()
	is := is.New(t)
	m.kill()
	found, before := mustOpenStore(t, m)
	m.crash(func(int) int { return 0 })
	left, after := mustOpenStore(t, m)
	is.Equal(left.Identity(), found.Identity())
	is.Equal(contentOfState(after).String(), contentOfState(before).String())
}

// killAfter kills the process after the number of operations.
func (m *memoryFileSystem) killAfter(operations int) {
	m.injectFailure = func(string, string) (int, error) {
		if operations == 0 {
			return 0, errKilled
		}
		operations--
		return 0, nil
	}
}
