package failure_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

// inForceLimit is the specified bound within which a publication is in force at
// every serving entry.
const inForceLimit = 4 * time.Second

// versionPath returns the path of the only route of the nth version of the
// configuration.
func versionPath(n int) string {
	return fmt.Sprintf("/version-%d", n)
}

// versions publishes configurations with one route each, all different, so that an
// entry's responses show which version is in force there.
type versions struct {
	*cluster
	client *caller
	last   int // number of the last version published
}

// publishNext publishes the next version.
func (v *versions) publishNext() {
	v.t.Helper()
	v.last++
	next := dispatchConfiguration()
	next.Jobs[0].Routes = []*apiv1.Route{{PathPrefix: versionPath(v.last)}}
	v.publish(next)
}

// awaitInForce waits until the control processes report that the last version is in
// force at every entry.
func (v *versions) awaitInForce() {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	current, err := v.cluster.client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is.New(v.t).NoErr(err)
	v.await("the publication to be in force", func() bool {
		response, err := v.cluster.client.Control().AwaitForce(ctx, &apiv1.AwaitForceRequest{
			Revision: current.GetRevision(), WaitMs: 1000,
		})
		return err == nil && response.GetInForce()
	})
}

// expectOnlyLastServed fails the test if the entry serves the version before the last
// one, or responds that the last one's route does not exist. An entry that doesn't
// respond or is unavailable passes.
func (v *versions) expectOnlyLastServed(e *entry) {
	v.t.Helper()
	const deadline = 2 * time.Second
	last := v.client.send(e.callerAddress, http.MethodGet, versionPath(v.last), "", "", deadline)
	if last.status == http.StatusNotFound {
		v.t.Errorf("%s has no route of version %d, which is in force", e.name, v.last)
	}
	earlier := v.client.send(e.callerAddress, http.MethodGet, versionPath(v.last-1), "", "", deadline)
	if earlier.err == nil && earlier.status != http.StatusNotFound && earlier.status != http.StatusServiceUnavailable {
		v.t.Errorf("%s served version %d with status %d after version %d was in force", e.name, v.last-1, earlier.status, v.last)
	}
}

// newVersions starts a cluster with 3 endpoints and publishes a first version, which
// every entry serves on return.
func newVersions(t testing.TB, l layout) *versions {
	t.Helper()
	client := newCaller()
	t.Cleanup(client.close)
	v := &versions{cluster: newCluster(t, l), client: client}
	v.publishNext()
	for i := range 3 {
		v.startEndpoint(fmt.Sprintf("domain-%d", i+1), endpoint.Behaviour{})
	}
	for _, e := range v.entries {
		v.await(e.name+" to serve the first version", func() bool {
			return client.send(e.callerAddress, http.MethodGet, versionPath(1), "", "", time.Second).done()
		})
	}
	return v
}

// TestPublicationInForceNeverReverts guards against an entry that serves an earlier
// version once a publication is in force: after a restart, while the entry is cut
// off or frozen, or after a change of leader.
func TestPublicationInForceNeverReverts(t *testing.T) {
	links := newLinks(t)
	v := newVersions(t, layout{voters: 3, entries: 3, controlAddress: links.startRelay})
	first, second, third := v.entries[0], v.entries[1], v.entries[2]
	faults := []struct {
		name           string
		begin, end     func()
		outlastsLeases bool // the fault lasts longer than every lease
	}{
		{name: "none", begin: func() {}, end: func() {}},
		{name: "leader killed", begin: func() { v.leader().kill() }, end: func() {
			for _, m := range v.members {
				if !m.running() {
					m.start()
				}
			}
		}},
		{name: "entry restarted", begin: third.kill, end: third.start},
		{name: "entry cut off from control", begin: func() { links.blackhole(first.name) }, end: func() { links.restore(first.name) }, outlastsLeases: true},
		{name: "entry frozen", begin: second.freeze, end: second.resume, outlastsLeases: true},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(*testing.T) {
			fault.begin()
			began := time.Now()
			v.publishNext()
			v.awaitInForce()
			for _, e := range v.entries {
				if e != second || fault.name != "entry frozen" {
					v.expectOnlyLastServed(e)
				}
			}
			if fault.outlastsLeases {
				v.await("the fault to outlast every lease", func() bool { return time.Since(began) > pastEveryTimeout })
			}
			fault.end()
			for _, e := range v.entries {
				v.await(e.name+" to serve", func() bool {
					v.expectOnlyLastServed(e)
					return v.client.healthy(e.callerAddress)
				})
				v.expectOnlyLastServed(e)
			}
		})
	}
}

// An entry that can't be reached must stop serving within the bound, so that a
// publication is in force everywhere without its acknowledgement.
func TestPublicationIsInForceWithinTheBoundWhileAnEntryIsCutOff(t *testing.T) {
	links := newLinks(t)
	v := newVersions(t, layout{voters: 3, entries: 3, controlAddress: links.startRelay})
	links.blackhole(v.entries[0].name)
	v.publishNext()
	published := time.Now()
	v.await("the bound to pass", func() bool { return time.Since(published) > inForceLimit })
	for _, e := range v.entries {
		v.expectOnlyLastServed(e)
	}
}
