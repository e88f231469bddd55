package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Limits of an entry's renewal.
const (
	maxEntryWait      = time.Second
	maxNameBytes      = 128
	maxHoldsOrDemands = 32768

	// grantUpdateDelay is how long a waiting renewal is held back if only its
	// grants differ, so that grants alone don't cause frequent responses.
	grantUpdateDelay = 20 * time.Millisecond
)

// Meta field of a refusal, and its values that callers tell apart.
const (
	refusalMetaKey    = "refusal"
	refusalUnknownTag = "unknown-tag"
)

// entryLinkService serves the lease renewals of the entries.
type entryLinkService struct {
	*Server
}

var _ apiv1.EntryLink = entryLinkService{}

// Renew extends an entry's lease and returns what changed since the revision that
// the entry knows. If nothing changed, it waits for a change for up to wait_ms
// (long poll).
func (s entryLinkService) Renew(ctx context.Context, request *apiv1.RenewEntryRequest) (*apiv1.RenewEntryResponse, error) {
	l, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := validateRenewal(request); err != nil {
		return nil, err
	}
	session, err := l.sessions.beginRenewal(request)
	if err != nil {
		return nil, err
	}
	renewal := &entryRenewal{leadership: l, request: request, session: session}
	var response *apiv1.RenewEntryResponse
	defer func() { l.sessions.endRenewal(request.GetSession(), response) }()
	response, err = renewal.serve(ctx)
	return response, err
}

func validateRenewal(request *apiv1.RenewEntryRequest) error {
	if request.GetEntry() == "" || len(request.GetEntry()) > maxNameBytes {
		return twirp.InvalidArgumentError("entry", "must have 1 to 128 bytes")
	}
	if request.GetSession() == "" || len(request.GetSession()) > maxNameBytes {
		return twirp.InvalidArgumentError("session", "must have 1 to 128 bytes")
	}
	if len(request.GetDemand()) > maxHoldsOrDemands || len(request.GetHolds()) > maxHoldsOrDemands {
		return twirp.InvalidArgumentError("holds", "too many items")
	}
	return nil
}

// entryRenewal is one renewal in progress.
type entryRenewal struct {
	*leadership
	request *apiv1.RenewEntryRequest
	session entrySession
	holds   []*apiv1.SlotHold
}

// serve answers the renewal once a read-index round that began after its receipt
// has confirmed the leadership.
func (r *entryRenewal) serve(ctx context.Context) (*apiv1.RenewEntryResponse, error) {
	if err := r.resolveHolds(); err != nil {
		return nil, err
	}
	round := r.barrier.join() // begins after the renewal's receipt
	r.awaitChange(ctx)
	if err := r.awaitRound(ctx, round); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err // the caller has gone
	}
	response, err := r.buildResponse()
	if err != nil {
		return nil, err
	}
	if r.sessions.superseded(r.session) {
		return nil, errSuperseded
	}
	// A leadership that has ended must not extend leases.
	if !r.isCurrent() || !r.entryLeases.GrantRenewal(r.request.GetSession()) {
		return nil, r.server.notLeader()
	}
	return response, nil
}

// resolveHolds sets holds to what the entry reports, or to what it was granted under
// the tag that it reports. It refuses any tag but that of the last grants.
func (r *entryRenewal) resolveHolds() error {
	tag := r.request.GetHoldsTag()
	if tag == 0 {
		r.holds = r.request.GetHolds()
		return nil
	}
	if tag != r.session.grantsTag {
		return twirp.NewErrorf(twirp.FailedPrecondition, "tag %d of holds is not known", tag).
			WithMeta(refusalMetaKey, refusalUnknownTag)
	}
	r.holds = r.session.granted
	return nil
}

// awaitChange returns when there is a change to report, or when the wait is over.
func (r *entryRenewal) awaitChange(ctx context.Context) {
	wait := min(time.Duration(r.request.GetWaitMs())*time.Millisecond, maxEntryWait)
	if !r.session.answered || wait <= 0 {
		return
	}
	starved := r.starvation.next()
	grants := r.updateGrants()
	if isStarved(r.request.GetDemand(), grants) {
		r.starvation.wake() // other entries may be able to release slots
	}
	if grantsDiffer(r.session.granted, grants) || grantsExceedHolds(r.holds, r.session.granted) {
		wait = min(wait, grantUpdateDelay)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-starved:
			starved = r.starvation.next()
			if grantsDiffer(r.session.granted, r.updateGrants()) {
				return
			}
		case <-r.server.Store.ChangedAfter(r.request.GetKnownRevision()):
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// buildResponse fills the response from the state. The revision is read first: the
// tables then include at least all changes up to it, and later changes that they
// include are reported again by the next renewal.
func (r *entryRenewal) buildResponse() (*apiv1.RenewEntryResponse, error) {
	store := r.server.Store
	known := r.request.GetKnownRevision()
	revision := store.Revision()
	if known > revision {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"entry %q knows revision %d; this cluster is at %d", r.request.GetEntry(), known, revision)
	}
	response := &apiv1.RenewEntryResponse{
		LeaseMs:          r.entryLeases.Length().Milliseconds(),
		Revision:         revision,
		ControlAddresses: r.server.controlAddresses(),
		NowUnixMs:        r.server.Clock.Read().Time().UnixMilli(),
	}
	routing := store.Routing()
	response.ConfigurationRevision = routing.InForceRevision
	if known == 0 || routing.ChangedRevision > known {
		response.ConfigurationChanged = true
		response.Configuration = routing.Configuration
	}
	delta := store.EndpointsSince(known)
	response.EndpointsReset = delta.Reset
	response.Endpoints = delta.Changed
	response.GoneEndpoints = delta.Removed
	r.fillGrants(response)
	return response, nil
}

// fillGrants adds the grants to the response. It leaves them out if the entry named
// the tag of its holds and the grants are the same.
func (r *entryRenewal) fillGrants(response *apiv1.RenewEntryResponse) {
	grants := r.updateGrants()
	if tag := r.request.GetHoldsTag(); tag != 0 && !grantsDiffer(r.holds, grants) {
		response.GrantsTag = tag
		response.GrantsUnchanged = true
		return
	}
	response.Grants = grants
	response.GrantsTag = r.sessions.nextGrantsTag()
}

// updateGrants reports the entry's holds and demand to the slot allocator and
// returns the new grants.
func (r *entryRenewal) updateGrants() []*apiv1.SlotHold {
	if r.slots == nil {
		return nil
	}
	request := r.request
	r.slots.SetLocation(r.session.id, request.GetLocation())
	endpoints := r.server.Store.Endpoints("")
	return r.slots.RenewNumbered(r.session.id, r.session.sequence, r.holds, request.GetDemand(), endpoints)
}

// expireEntries drops the sessions whose leases have expired and frees their slots.
func (l *leadership) expireEntries() {
	l.sessions.removeExpired(l.entryLeases.Expired, func(id string) {
		l.entryLeases.RemoveHolder(id)
		if l.slots != nil {
			l.slots.Expire(id)
		}
	})
}

// entryLeaseExpired reports whether the session's lease has certainly expired, also
// if an earlier leader may have granted it.
func (l *leadership) entryLeaseExpired(session string) bool {
	return l.entryLeases.PredecessorLeasesExpired() && !l.sessions.hasPendingRenewal(session) && l.entryLeases.Expired(session)
}
