package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of an entry's renewal.
const (
	maxEntryWait  = time.Second
	maxNameBytes  = 128
	maxEntryItems = 32768 // demands or holds

	// grantPause bounds how often changed grants alone are answered at once.
	grantPause = 20 * time.Millisecond
)

// Refusals that callers tell apart by their meta field.
const (
	refusalMeta = "refusal"
	unknownTag  = "unknown-tag"
)

// entryLink serves the entries.
type entryLink struct {
	*Server
}

var _ apiv1.EntryLink = entryLink{}

// Renew extends an entry's lease and tells what changed since the revision it
// knows. It waits up to wait_ms if nothing did.
func (s entryLink) Renew(ctx context.Context, request *apiv1.RenewEntryRequest) (*apiv1.RenewEntryResponse, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	if err := checkRenewal(request); err != nil {
		return nil, err
	}
	session, err := l.sessions.begin(request)
	if err != nil {
		return nil, err
	}
	renewal := &entryRenewal{leadership: l, request: request, session: session}
	var response *apiv1.RenewEntryResponse
	defer func() { l.sessions.end(request.GetSession(), response) }()
	response, err = renewal.serve(ctx)
	return response, err
}

func checkRenewal(request *apiv1.RenewEntryRequest) error {
	if request.GetEntry() == "" || len(request.GetEntry()) > maxNameBytes {
		return twirp.InvalidArgumentError("entry", "must have 1 to 128 bytes")
	}
	if request.GetSession() == "" || len(request.GetSession()) > maxNameBytes {
		return twirp.InvalidArgumentError("session", "must have 1 to 128 bytes")
	}
	if len(request.GetDemand()) > maxEntryItems || len(request.GetHolds()) > maxEntryItems {
		return twirp.InvalidArgumentError("holds", "too many items")
	}
	return nil
}

// entryRenewal is one renewal on its way to an answer.
type entryRenewal struct {
	*leadership
	request *apiv1.RenewEntryRequest
	session entrySession
	holds   []*apiv1.SlotHold
}

func (r *entryRenewal) serve(ctx context.Context) (*apiv1.RenewEntryResponse, error) {
	if err := r.readHolds(); err != nil {
		return nil, err
	}
	round := r.barrier.join() // begins after the receipt
	r.await(ctx)
	if err := r.awaitRound(ctx, round); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err // nobody waits for the answer any more
	}
	response, err := r.answer()
	if err != nil {
		return nil, err
	}
	if r.sessions.overtaken(r.session) {
		return nil, errOvertaken
	}
	// Nothing is answered on the account of a leadership that has ended.
	if !r.current() || !r.entries.Answer(r.request.GetSession()) {
		return nil, r.server.notLeader()
	}
	return response, nil
}

// readHolds finds out what the entry holds: what it reports, or what it was
// granted under the tag that it reports.
func (r *entryRenewal) readHolds() error {
	tag := r.request.GetHoldsTag()
	if tag == 0 {
		r.holds = r.request.GetHolds()
		return nil
	}
	if tag != r.session.tag {
		return twirp.NewErrorf(twirp.FailedPrecondition, "tag %d of holds is not known", tag).
			WithMeta(refusalMeta, unknownTag)
	}
	r.holds = r.session.granted
	return nil
}

// await returns when there is something to tell, or the time to wait is over.
func (r *entryRenewal) await(ctx context.Context) {
	wait := min(time.Duration(r.request.GetWaitMs())*time.Millisecond, maxEntryWait)
	if !r.session.answered || wait <= 0 {
		return
	}
	starved := r.starved.next()
	grants := r.grants()
	if starves(r.request.GetDemand(), grants) {
		r.starved.wake() // the others may have slots to give up
	}
	if grantsDiffer(r.session.granted, grants) || raised(r.holds, r.session.granted) {
		wait = min(wait, grantPause)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-starved:
			starved = r.starved.next()
			if grantsDiffer(r.session.granted, r.grants()) {
				return
			}
		case <-r.server.Store.Changed(r.request.GetKnownRevision()):
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

// answer reads the state. The revision is read first: the tables then hold at
// least what it covers, and what they hold beyond it is told again next time.
func (r *entryRenewal) answer() (*apiv1.RenewEntryResponse, error) {
	store := r.server.Store
	known := r.request.GetKnownRevision()
	revision := store.Revision()
	if known > revision {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"entry %q knows revision %d; this cluster is at %d", r.request.GetEntry(), known, revision)
	}
	response := &apiv1.RenewEntryResponse{
		LeaseMs:          r.entries.Length().Milliseconds(),
		Revision:         revision,
		ControlAddresses: r.server.controlAddresses(),
		NowUnixMs:        r.server.Clock.Read().Time().UnixMilli(),
	}
	routing := store.Routing()
	response.ConfigurationRevision = routing.InForceAt
	if known == 0 || routing.ChangedAt > known {
		response.ConfigurationChanged = true
		response.Configuration = routing.Configuration
	}
	delta := store.EndpointsSince(known)
	response.EndpointsReset = delta.Reset
	response.Endpoints = delta.Changed
	response.GoneEndpoints = delta.Gone
	r.answerGrants(response)
	return response, nil
}

// answerGrants leaves unchanged grants out, if the entry named their tag.
func (r *entryRenewal) answerGrants(response *apiv1.RenewEntryResponse) {
	grants := r.grants()
	if tag := r.request.GetHoldsTag(); tag != 0 && !grantsDiffer(r.holds, grants) {
		response.GrantsTag = tag
		response.GrantsUnchanged = true
		return
	}
	response.Grants = grants
	response.GrantsTag = r.sessions.nextTag()
}

func (r *entryRenewal) grants() []*apiv1.SlotHold {
	if r.slots == nil {
		return nil
	}
	request := r.request
	r.slots.Locate(r.session.id, request.GetLocation())
	endpoints := r.server.Store.Endpoints("")
	return r.slots.RenewInSequence(r.session.id, r.session.sequence, r.holds, request.GetDemand(), endpoints)
}

// expireEntries drops the sessions whose leases have run out.
func (l *leadership) expireEntries() {
	l.sessions.remove(l.entries.Expired, func(id string) {
		l.entries.Forget(id)
		if l.slots != nil {
			l.slots.Expire(id)
		}
	})
}

// entryGone reports whether the session's lease has run out for certain.
func (l *leadership) entryGone(session string) bool {
	return l.entries.Settled() && !l.sessions.pending(session) && l.entries.Expired(session)
}
