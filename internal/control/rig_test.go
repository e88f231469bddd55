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
)

const (
	entryLease = 4 * time.Second
	drift      = 0.05
	leaseWait  = entryLease + entryLease/20 // with the drift allowance
	patience   = 30 * time.Second           // for conditions to come true
)

// rig is a control server over a fake log and a manual clock.
type rig struct {
	t      *testing.T
	is     *is.I
	log    *fakeLog
	store  *state.Store
	clock  *clock.Manual
	server *control.Server
	url    string
	stop   func()
}

// newRig starts a server that follows nobody yet.
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
	options := state.Options{Claims: newFakeClaims()}
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

// lead makes the server lead and waits until it is on duty.
func (r *rig) lead() {
	r.t.Helper()
	r.log.lead()
	r.eventually("the server leads", func() bool {
		_, err := r.control().GetConfiguration(r.t.Context(), &apiv1.GetConfigurationRequest{})
		return err == nil
	})
}

// settle moves the clock past every lease of an earlier term.
func (r *rig) settle() {
	r.clock.Advance(leaseWait)
}

func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.NewTimer(patience)
	defer deadline.Stop()
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for !condition() {
		select {
		case <-deadline.C:
			r.t.Fatalf("not within %v: %s", patience, what)
		case <-look.C:
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

// publish publishes a configuration of one service and expects it applied.
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
