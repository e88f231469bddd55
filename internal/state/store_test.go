package state_test

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// fakeTasks records the configurations and the snapshot that it is given.
type fakeTasks struct {
	state.TasksTable
	configured []*apiv1.Configuration
	restored   []byte
}

func (f *fakeTasks) Configure(_ int64, c *apiv1.Configuration) {
	f.configured = append(f.configured, c)
}

func (f *fakeTasks) Snapshot() ([]byte, error) { return []byte("tasks"), nil }

func (f *fakeTasks) Restore(snapshot []byte) error {
	f.restored = snapshot
	return nil
}

func TestPublicationConfiguresTheTasksOnce(t *testing.T) {
	is := is.New(t)
	tasks := &fakeTasks{}
	store := state.New(state.Options{Tasks: tasks})
	store.Apply(1, publish(0, "ana", configuration("b", "a")))
	store.Apply(2, publish(0, "ana", configuration("a", "b"))) // a resend
	store.Apply(3, publish(0, "bo", configuration("c")))       // a conflict
	is.Equal(len(tasks.configured), 1)
	is.Equal(tasks.configured[0].GetJobs()[0].GetName(), "a")

	snapshot, err := store.Snapshot()
	is.NoErr(err)
	other := &fakeTasks{}
	is.NoErr(state.New(state.Options{Tasks: other}).Restore(snapshot))
	is.Equal(string(other.restored), "tasks")
}

func TestRevertToEarlierContentIsANewPublication(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	first := store.Apply(1, publish(0, "ana", configuration("a"))).GetPublish().GetRevision()
	second := store.Apply(2, publish(first, "ana", configuration("b"))).GetPublish().GetRevision()
	back := store.Apply(3, publish(second, "ana", configuration("a"))).GetPublish()
	is.Equal(back.GetStatus(), apiv1.PublishResult_STATUS_APPLIED)
	is.Equal(back.GetRevision(), second+1)
	again := store.Apply(4, publish(second, "ana", configuration("a"))).GetPublish()
	is.Equal(again.GetStatus(), apiv1.PublishResult_STATUS_ALREADY_APPLIED)
	is.Equal(again.GetRevision(), back.GetRevision())
}

func TestConflictNamesTheWinningOperator(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	first := store.Apply(1, publish(0, "ana", configuration("a"))).GetPublish().GetRevision()
	store.Apply(2, publish(first, "bo", configuration("b")))
	result := store.Apply(3, publish(0, "cy", configuration("c"))).GetPublish()
	is.Equal(result.GetStatus(), apiv1.PublishResult_STATUS_CONFLICT)
	is.Equal(result.GetWinner(), "ana")
	is.Equal(result.GetWinnerRevision(), first)
	is.Equal(result.GetCurrentRevision(), first+1)
}

func TestRoutingViewCoversServicesOnly(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	c := configuration("plans")
	first := store.Apply(1, publish(0, "ana", c)).GetPublish().GetRevision()
	c.Jobs = append(c.Jobs, &apiv1.Job{Name: "night", Team: "team", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 1})
	second := store.Apply(2, publish(first, "ana", c)).GetPublish().GetRevision()
	view := store.Routing()
	is.Equal(len(view.Configuration.GetJobs()), 1)
	is.Equal(view.Configuration.GetJobs()[0].GetCommand(), "")
	is.Equal(view.ChangedRevision, first)
	is.Equal(view.InForceRevision, second)
}

func TestClusterKeepsItsFirstIdentity(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	form := func(id string) *apiv1.CommandResult {
		return store.Apply(store.AppliedIndex()+1, &apiv1.Command{
			Body: &apiv1.Command_FormCluster{FormCluster: &apiv1.FormCluster{ClusterId: id}},
		})
	}
	is.Equal(form("one").GetRefusalCode(), "")
	is.Equal(form("one").GetRefusalCode(), "")
	is.Equal(form("two").GetRefusalCode(), string(state.RefusalAlreadyFormed))
	is.Equal(store.ClusterID(), "one")
}

func TestUnknownCommandsAndMissingTablesAreRefused(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	is.Equal(store.Apply(1, &apiv1.Command{}).GetRefusalCode(), string(state.RefusalInvalid))
	claims := &apiv1.Command{Body: &apiv1.Command_Claims{Claims: &apiv1.ClaimBatch{}}}
	is.Equal(store.Apply(2, claims).GetRefusalCode(), string(state.RefusalNoTable))
	placement := &apiv1.Command{Body: &apiv1.Command_Placement{Placement: &apiv1.PlacementCommand{}}}
	is.Equal(store.Apply(3, placement).GetRefusalCode(), string(state.RefusalNoTable))
}

func TestRestoreOfCorruptSnapshotFails(t *testing.T) {
	is := is.New(t)
	is.True(state.New(state.Options{}).Restore([]byte{0xff, 0xff}) != nil)
	is.NoErr(state.New(state.Options{}).Restore(nil)) // no snapshot: the empty state of a new cluster
}

func TestChangedAfterClosesOnlyOnChange(t *testing.T) {
	is := is.New(t)
	store := state.New(state.Options{})
	changed := store.ChangedAfter(0)
	store.Apply(1, publish(5, "ana", configuration("a"))) // a conflict
	select {
	case <-changed:
		t.Fatal("the channel was closed without a change")
	default:
	}
	store.Apply(2, publish(0, "ana", configuration("a")))
	<-changed
	<-store.ChangedAfter(0)
	is.Equal(store.Revision(), uint64(1))
}
