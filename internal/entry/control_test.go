package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance/shares"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/state/claims"
)

// fakeControl is an in-memory leader: it serves the real protocols with the real
// claim table and allocator, without replication.
type fakeControl struct {
	address string
	table   *claims.Table

	mu             sync.Mutex
	allocator      *shares.Allocator
	revision       uint64
	config         *apiv1.Configuration
	endpoints      []*apiv1.Endpoint
	changed        chan struct{}
	down           bool                         // every call fails
	endedSessions  map[string]bool              // sessions whose lease has expired
	lastTags       map[string]uint64            // of the last response, by session
	lastGrants     map[string][]*apiv1.SlotHold // of the last response, by session
	taggedRenewals int                          // count of renewals with a tag
	takesToLose    int                          // count of takes to apply without returning their results
	onTake         func()                       // called after a take was applied, before its result is returned
	renewalsFail   bool                         // renewals fail
	changesRefused int                          // count of claim changes while down
	newestKnown    uint64                       // highest known revision of all renewals
}

func startFakeControl(t testing.TB, config *apiv1.Configuration) *fakeControl {
	t.Helper()
	past := clock.NewManual(time.Now())
	allocator := shares.NewAllocator(shares.Options{Clock: past})
	past.Advance(time.Minute) // grants of earlier leaders have expired
	c := &fakeControl{
		table:         claims.New(claims.Options{}),
		allocator:     allocator,
		revision:      1,
		config:        config,
		changed:       make(chan struct{}),
		endedSessions: make(map[string]bool),
		lastTags:      make(map[string]uint64),
		lastGrants:    make(map[string][]*apiv1.SlotHold),
	}
	mux := http.NewServeMux()
	mux.Handle(apiv1.EntryLinkPathPrefix, apiv1.NewEntryLinkServer(c))
	mux.Handle(apiv1.ClaimsPathPrefix, apiv1.NewClaimsServer(claimsServer{c}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

// advanceRevision ends the long polls. c.mu must be held.
func (c *fakeControl) advanceRevision() {
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) announce(endpoints ...*apiv1.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = append(c.endpoints, endpoints...)
	c.advanceRevision()
}

// revertRevision makes renewals return an older revision, without endpoints.
func (c *fakeControl) revertRevision() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advanceRevision()
	c.revision = 0
	c.endpoints = nil
}

func (c *fakeControl) withdraw(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*apiv1.Endpoint
	for _, endpoint := range c.endpoints {
		if endpoint.GetId() != id {
			kept = append(kept, endpoint)
		}
	}
	c.endpoints = kept
	c.advanceRevision()
}

// allChangesKnown reports whether an entry has renewed with the current revision.
func (c *fakeControl) allChangesKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestKnown >= c.revision
}

func (c *fakeControl) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.advanceRevision()
}

// loseTakeResponses makes the next takes fail after they were applied.
func (c *fakeControl) loseTakeResponses(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takesToLose = count
}

// refusedChanges returns how many claim changes were received while control was
// down.
func (c *fakeControl) refusedChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changesRefused
}

func (c *fakeControl) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

var errDown = twirp.NewError(twirp.Internal, "control is down")

// Renew implements apiv1.EntryLink.
func (c *fakeControl) Renew(ctx context.Context, request *apiv1.RenewEntryRequest) (*apiv1.RenewEntryResponse, error) {
	c.mu.Lock()
	c.newestKnown = max(c.newestKnown, request.GetKnownRevision())
	c.mu.Unlock()
	c.awaitChange(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || c.renewalsFail {
		return nil, errDown
	}
	session := request.GetSession()
	holds := request.GetHolds()
	if tag := request.GetHoldsTag(); tag != 0 {
		if tag != c.lastTags[session] {
			return nil, twirp.NewError(twirp.FailedPrecondition, "unknown tag")
		}
		holds = c.lastGrants[session]
		c.taggedRenewals++
	}
	c.allocator.SetLocation(request.GetSession(), request.GetLocation())
	grants := c.allocator.RenewNumbered(session, request.GetSequence(), holds, request.GetDemand(), c.endpoints)
	c.lastTags[session] = request.GetSequence()
	c.lastGrants[session] = grants
	return &apiv1.RenewEntryResponse{
		LeaseMs:               4000,
		Revision:              c.revision,
		ConfigurationChanged:  request.GetKnownRevision() == 0,
		ConfigurationRevision: 1,
		Configuration:         c.config,
		EndpointsReset:        true,
		Endpoints:             cloneAll(c.endpoints),
		Grants:                grants,
		GrantsTag:             request.GetSequence(),
		NowUnixMs:             time.Now().UnixMilli(),
	}, nil
}

// awaitChange blocks until the revision changes or the long poll's wait is over.
func (c *fakeControl) awaitChange(ctx context.Context, request *apiv1.RenewEntryRequest) {
	c.mu.Lock()
	changed, current := c.changed, c.revision
	c.mu.Unlock()
	if request.GetKnownRevision() != current {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	case <-time.After(min(100, time.Duration(request.GetWaitMs())) * time.Millisecond):
	}
}

func cloneAll(endpoints []*apiv1.Endpoint) []*apiv1.Endpoint {
	var copies []*apiv1.Endpoint
	for _, endpoint := range endpoints {
		copies = append(copies, proto.CloneOf(endpoint))
	}
	return copies
}

type claimsServer struct{ *fakeControl }

// Change implements apiv1.Claims.
func (c claimsServer) Change(_ context.Context, batch *apiv1.ClaimBatch) (*apiv1.ClaimBatchResult, error) {
	if c.isDown() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changesRefused++
		return nil, errDown
	}
	result := c.table.Apply(time.Now().UnixMilli(), batch)
	if batch.GetChanges()[0].GetTake() == nil {
		return result, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onTake != nil {
		c.onTake()
	}
	if c.takesToLose > 0 {
		c.takesToLose--
		return nil, errDown
	}
	return result, nil
}

// Lookup implements apiv1.Claims.
func (c claimsServer) Lookup(_ context.Context, request *apiv1.LookupRequest) (*apiv1.LookupResponse, error) {
	if c.isDown() {
		return nil, errDown
	}
	state, found := c.table.Lookup(request.GetKey())
	c.mu.Lock()
	defer c.mu.Unlock()
	return &apiv1.LookupResponse{Found: found, State: state, HolderGone: c.endedSessions[state.GetEntry()]}, nil
}
