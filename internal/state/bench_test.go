package state_test

import (
	"fmt"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// Sizes of a cluster that the project is designed for.
const (
	benchJobs      = 2400
	benchEndpoints = 1000
)

func benchConfiguration(generation int) *apiv1.Configuration {
	c := configuration()
	for i := range benchJobs {
		c.Jobs = append(c.Jobs, &apiv1.Job{
			Name:      fmt.Sprintf("job-%04d", i),
			Team:      "team",
			Kind:      apiv1.JobKind_JOB_KIND_BATCH,
			Count:     2,
			Resources: &apiv1.Resources{CpuMillis: 1000, MemoryBytes: 1 << 30},
			Command:   "run /opt/work/job --with --some --arguments",
			Source:    fmt.Sprintf("team/jobs/job-%04d.toml", i),
		})
	}
	c.Jobs[0].Generation = fmt.Sprint(generation)
	return c
}

func BenchmarkApplyPublish(b *testing.B) {
	store := state.New(state.Options{})
	for i := 0; b.Loop(); i++ {
		store.Apply(uint64(i+1), publish(store.ConfigurationRevision(), "ana", benchConfiguration(i)))
	}
}

func newStoreWithEndpoints() *state.Store {
	store := state.New(state.Options{})
	for i := range benchEndpoints {
		store.Apply(uint64(i+1), announce(endpoint(fmt.Sprintf("endpoint-%04d", i), 8)))
	}
	return store
}

func BenchmarkApplyAnnounce(b *testing.B) {
	store := newStoreWithEndpoints()
	for i := 0; b.Loop(); i++ {
		store.Apply(store.AppliedIndex()+1, announce(endpoint("busy", 1+i%2)))
	}
}

func BenchmarkEndpointsSinceLastChange(b *testing.B) {
	store := newStoreWithEndpoints()
	before := store.Revision() - 1
	for b.Loop() {
		store.EndpointsSince(before)
	}
}

func BenchmarkEndpointsListAll(b *testing.B) {
	store := newStoreWithEndpoints()
	for b.Loop() {
		store.Endpoints("")
	}
}

func BenchmarkSnapshot(b *testing.B) {
	store := newStoreWithEndpoints()
	store.Apply(store.AppliedIndex()+1, publish(0, "ana", benchConfiguration(0)))
	b.ResetTimer()
	for b.Loop() {
		snapshot, err := store.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(snapshot)))
	}
}
