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

// inForceLimit is the stated bound within which a publication is in force at
// every serving entry.
const inForceLimit = 4 * time.Second

// versionPath is the one route of the nth version of the configuration.
func versionPath(n int) string {
	return fmt.Sprintf("/version-%d", n)
}

// versions publishes configurations, each with a route of its own, so that an
// entry's answers show which version is in force there.
type versions struct {
	*cluster
	client *caller
	last   int
}

func (v *versions) publishNext() {
	v.t.Helper()
	v.last++
	next := dispatchConfiguration()
	next.Jobs[0].Routes = []*apiv1.Route{{PathPrefix: versionPath(v.last)}}
	v.publish(next)
}

// awaitInForce waits until control says that the last version is in force.
func (v *versions) awaitInForce() {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	present, err := v.cluster.client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is.New(v.t).NoErr(err)
	v.await("the publication to be in force", func() bool {
		response, err := v.cluster.client.Control().AwaitForce(ctx, &apiv1.AwaitForceRequest{
			Revision: present.GetRevision(), WaitMs: 1000,
		})
		return err == nil && response.GetInForce()
	})
}

// expectOnlyLastServed fails the test if an entry that answers serves an earlier
// version, or does not know the last one.
func (v *versions) expectOnlyLastServed(e *entry) {
	v.t.Helper()
	const deadline = 2 * time.Second
	last := v.client.send(e.callerAddress, http.MethodGet, versionPath(v.last), "", "", deadline)
	if last.status == http.StatusNotFound {
		v.t.Errorf("%s does not know version %d, which is in force", e.name, v.last)
	}
	earlier := v.client.send(e.callerAddress, http.MethodGet, versionPath(v.last-1), "", "", deadline)
	if earlier.err == nil && earlier.status != http.StatusNotFound && earlier.status != http.StatusServiceUnavailable {
		v.t.Errorf("%s served version %d with status %d after version %d was in force", e.name, v.last-1, earlier.status, v.last)
	}
}

// newVersions starts a cluster with entries and a first version in force.
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

func TestPublicationInForceNeverReverts(t *testing.T) {
	links := newLinks(t)
	v := newVersions(t, layout{voters: 3, entries: 3, controlAddress: links.startRelay})
	first, second, third := v.entries[0], v.entries[1], v.entries[2]
	faults := []struct {
		name        string
		begin, end  func()
		outlastEach bool // the fault lasts for longer than every lease
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
		{name: "entry cut off from control", begin: func() { links.blackhole(first.name) }, end: func() { links.restore(first.name) }, outlastEach: true},
		{name: "entry frozen", begin: second.freeze, end: second.resume, outlastEach: true},
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
			if fault.outlastEach {
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
