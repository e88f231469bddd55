package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

const (
	entryLease        = 4 * time.Second
	drift             = 0.05
	leaseExpiryWait   = entryLease + entryLease/20 // lease plus the allowance for clock drift
	eventuallyTimeout = 30 * time.Second           // how long eventually waits for a condition
)

// rig is a test setup: a control server with a fake log and a manual clock.
type rig struct {
	t      *testing.T
	is     *is.I
	log    *fakeLog
	store  *state.Store
	jobs   *jobs.Table
	clock  *clock.Manual
	server *control.Server
	url    string
	stop   func()
}

// newRig starts a server whose log has no leader yet.
func newRig(t *testing.T, adjust ...func(*control.Config)) *rig {
	t.Helper()
	r := &rig{t: t, is: is.New(t), clock: clock.NewManual(time.Unix(1_700_000_000, 0))}
	config := control.Config{
		Clock:         r.clock,
		Name:          "control-1",
		Address:       "127.0.0.1:1",
		EntryLease:    entryLease,
		EndpointLease: entryLease,
		MaxClockDrift: drift,
	}
	r.jobs = jobs.New()
	options := state.Options{Claims: newFakeClaims(), Jobs: r.jobs}
	r.store = state.New(options)
	r.log = newFakeLog(r.store)
	config.Log = r.log
	config.Store = r.store
	for _, change := range adjust {
		change(&config)
	}
	server, err := control.New(config)
	r.is.NoErr(err)
	r.server = server
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	r.url = httpServer.URL
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	stopped := false
	r.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		r.is.NoErr(<-done)
	}
	t.Cleanup(r.stop)
	return r
}

// becomeLeader makes the server's log the leader and waits until the server answers
// as leader.
func (r *rig) becomeLeader() {
	r.t.Helper()
	r.log.becomeLeader()
	r.eventually("the server leads", func() bool {
		_, err := r.control().GetConfiguration(r.t.Context(), &apiv1.GetConfigurationRequest{})
		return err == nil
	})
}

// expireEarlierLeases moves the clock past the expiry of every lease granted so far.
func (r *rig) expireEarlierLeases() {
	r.clock.Advance(leaseExpiryWait)
}

func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.NewTimer(eventuallyTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for !condition() {
		select {
		case <-deadline.C:
			r.t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		case <-poll.C:
		}
	}
}

func (r *rig) control() apiv1.Control {
	return apiv1.NewControlProtobufClient(r.url, http.DefaultClient)
}

func (r *rig) entries() apiv1.EntryLink {
	return apiv1.NewEntryLinkProtobufClient(r.url, http.DefaultClient)
}

func (r *rig) discovery() apiv1.Discovery {
	return apiv1.NewDiscoveryProtobufClient(r.url, http.DefaultClient)
}

func (r *rig) claims() apiv1.Claims {
	return apiv1.NewClaimsProtobufClient(r.url, http.DefaultClient)
}

// publish publishes a configuration with one service, expects it to be applied and
// returns its revision.
func (r *rig) publish(base uint64, service string) uint64 {
	r.t.Helper()
	response, err := r.control().Publish(r.t.Context(), publication(base, service))
	r.is.NoErr(err)
	r.is.Equal(response.GetResult().GetStatus(), apiv1.PublishResult_STATUS_APPLIED)
	return response.GetResult().GetRevision()
}

func publication(base uint64, service string) *apiv1.PublishRequest {
	return &apiv1.PublishRequest{
		BaseRevision: base,
		Operator:     "ana",
		Configuration: &apiv1.Configuration{
			Teams: []*apiv1.Team{{Name: "dispatch"}},
			Jobs: []*apiv1.Job{{
				Name:   service,
				Team:   "dispatch",
				Kind:   apiv1.JobKind_JOB_KIND_SERVICE,
				Count:  1,
				Routes: []*apiv1.Route{{PathPrefix: "/" + service}},
			}},
		},
	}
}

func renewal(session string, known uint64) *apiv1.RenewEntryRequest {
	return &apiv1.RenewEntryRequest{
		Entry:         "entry-" + session,
		Session:       session,
		KnownRevision: known,
	}
}

func endpoint(id string) *apiv1.Endpoint {
	return &apiv1.Endpoint{
		Id:          id,
		Service:     "plans",
		Address:     "127.0.0.1:9000",
		Slots:       8,
		Connections: 64,
	}
}
