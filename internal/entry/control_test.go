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

// control is a leader in memory: the real claim table and ledger behind the
// real protocols, without replication.
type control struct {
	address string
	table   *claims.Table

	mu        sync.Mutex
	ledger    *shares.Ledger
	revision  uint64
	config    *apiv1.Configuration
	endpoints []*apiv1.Endpoint
	changed   chan struct{}
	down      bool                         // answers nothing but errors
	gone      map[string]bool              // sessions whose lease ran out
	tags      map[string]uint64            // of the last answer, by session
	granted   map[string][]*apiv1.SlotHold // by session
	tagged    int                          // renewals that named a tag
	loseTakes int                          // answers to takes that are lost after they were applied
	onTake    func()                       // called before a take is answered
	renewDown bool                         // answers no renewal
	refused   int                          // claim changes while down
	known     uint64                       // newest revision that a renewal said it knows
}

func newControl(t testing.TB, config *apiv1.Configuration) *control {
	t.Helper()
	past := clock.NewManual(time.Now())
	ledger := shares.NewLedger(shares.Options{Clock: past})
	past.Advance(time.Minute) // grants of earlier leaders have run out
	c := &control{
		table:    claims.New(claims.Options{}),
		ledger:   ledger,
		revision: 1,
		config:   config,
		changed:  make(chan struct{}),
		gone:     make(map[string]bool),
		tags:     make(map[string]uint64),
		granted:  make(map[string][]*apiv1.SlotHold),
	}
	mux := http.NewServeMux()
	mux.Handle(apiv1.EntryLinkPathPrefix, apiv1.NewEntryLinkServer(c))
	mux.Handle(apiv1.ClaimsPathPrefix, apiv1.NewClaimsServer(claimsServer{c}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func (c *control) bump() {
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) announce(endpoints ...*apiv1.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = append(c.endpoints, endpoints...)
	c.bump()
}

// moveBack makes the control process answer with an older revision.
func (c *control) moveBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bump()
	c.revision = 0
	c.endpoints = nil
}

func (c *control) withdraw(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*apiv1.Endpoint
	for _, endpoint := range c.endpoints {
		if endpoint.GetId() != id {
			kept = append(kept, endpoint)
		}
	}
	c.endpoints = kept
	c.bump()
}

// allKnown reports whether an entry has taken in all changes so far.
func (c *control) allKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known >= c.revision
}

func (c *control) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.bump()
}

// loseAnswers makes so many of the next takes lose their answers.
func (c *control) loseAnswers(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseTakes = count
}

// refusedTakes returns how many claim changes came while control was down.
func (c *control) refusedTakes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (c *control) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

var errDown = twirp.NewError(twirp.Internal, "control is down")

// Renew implements apiv1.EntryLink.
func (c *control) Renew(ctx context.Context, request *apiv1.RenewEntryRequest) (*apiv1.RenewEntryResponse, error) {
	c.mu.Lock()
	c.known = max(c.known, request.GetKnownRevision())
	c.mu.Unlock()
	c.wait(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || c.renewDown {
		return nil, errDown
	}
	session := request.GetSession()
	holds := request.GetHolds()
	if tag := request.GetHoldsTag(); tag != 0 {
		if tag != c.tags[session] {
			return nil, twirp.NewError(twirp.FailedPrecondition, "unknown tag")
		}
		holds = c.granted[session]
		c.tagged++
	}
	c.ledger.Locate(request.GetSession(), request.GetLocation())
	grants := c.ledger.RenewInSequence(session, request.GetSequence(), holds, request.GetDemand(), c.endpoints)
	c.tags[session] = request.GetSequence()
	c.granted[session] = grants
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

// wait blocks until something changed or the wait is over.
func (c *control) wait(ctx context.Context, request *apiv1.RenewEntryRequest) {
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

type claimsServer struct{ *control }

// Change implements apiv1.Claims.
func (c claimsServer) Change(_ context.Context, batch *apiv1.ClaimBatch) (*apiv1.ClaimBatchResult, error) {
	if c.isDown() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refused++
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
	if c.loseTakes > 0 {
		c.loseTakes--
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
	return &apiv1.LookupResponse{Found: found, State: state, HolderGone: c.gone[state.GetEntry()]}, nil
}
