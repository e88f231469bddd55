package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxEntrySessions limits the sessions listed at once.
const maxEntrySessions = 4096

var errSuperseded = twirp.NewError(twirp.Aborted, "a newer renewal of the session overtook this one")

// entrySession is one run of an entry process, as known to the leader.
type entrySession struct {
	id              string
	name            string
	location        *apiv1.Location // from the newest renewal received
	address         string          // where callers reach the entry, from the newest renewal received
	draining        bool
	knownRevision   uint64            // largest revision that the entry reported
	pendingRenewals int               // number of renewals received and not yet answered
	sequence        uint64            // of the newest renewal received: its number, or the order of arrival if it sent 0
	answered        bool              // a renewal was answered in this term
	granted         []*apiv1.SlotHold // all grants of the last response that listed them
	grantsTag       uint64            // identifies granted; 0: no renewal answered yet
}

// entrySessions holds the sessions that may hold a lease of this term; each leadership
// has its own. It is safe for concurrent use.
//
// A session is listed on receipt of its first renewal, before the state is read
// for the response. Hence a search for lagging entries either finds the session, or
// the session's first response includes every change that the search has seen.
type entrySessions struct {
	mu            sync.Mutex
	byID          map[string]*entrySession
	changed       chan struct{} // closed and replaced when a session reports a newer revision or is removed
	lastGrantsTag uint64
}

func newEntrySessions() *entrySessions {
	return &entrySessions{
		byID:    make(map[string]*entrySession),
		changed: make(chan struct{}),
	}
}

// beginRenewal records the receipt of a renewal and returns a copy of the session. It
// refuses a renewal with a smaller number than the newest (errSuperseded) and a new
// session beyond maxEntrySessions (resource_exhausted); a refusal changes nothing.
// Unless it returns an error, the caller must call endRenewal.
func (e *entrySessions) beginRenewal(request *apiv1.RenewEntryRequest) (entrySession, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[request.GetSession()]
	if !ok {
		if len(e.byID) >= maxEntrySessions {
			return entrySession{}, twirp.NewError(twirp.ResourceExhausted, "too many entry sessions")
		}
		session = &entrySession{id: request.GetSession()}
		e.byID[session.id] = session
	}
	sequence := request.GetSequence()
	if sequence == 0 {
		sequence = session.sequence + 1 // not numbered: order of arrival
	}
	if sequence < session.sequence {
		return entrySession{}, errSuperseded
	}
	session.sequence = sequence
	session.name = request.GetEntry()
	session.location = request.GetLocation()
	session.address = request.GetAddress()
	session.draining = request.GetDraining()
	session.pendingRenewals++
	if request.GetKnownRevision() > session.knownRevision {
		session.knownRevision = request.GetKnownRevision()
		e.notifyChanged()
	}
	return *session, nil
}

// endRenewal records that a renewal was answered, with its grants unless they are
// unchanged, or that it failed, if response is nil.
func (e *entrySessions) endRenewal(id string, response *apiv1.RenewEntryResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[id]
	if !ok {
		return
	}
	session.pendingRenewals--
	if response == nil {
		return
	}
	session.answered = true
	if !response.GetGrantsUnchanged() {
		session.granted = response.GetGrants()
		session.grantsTag = response.GetGrantsTag()
	}
}

// superseded reports whether a newer renewal of the session has arrived since
// beginRenewal returned the copy.
func (e *entrySessions) superseded(earlier entrySession) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[earlier.id]
	return ok && session.sequence > earlier.sequence
}

// nextGrantsTag returns a tag that no response of this term has carried.
func (e *entrySessions) nextGrantsTag() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastGrantsTag++
	return e.lastGrantsTag
}

// removeExpired removes the sessions that are expired and have no pending renewal,
// and calls drop for each. It holds the lock meanwhile, so no renewal of a removed
// session begins before drop has returned.
func (e *entrySessions) removeExpired(expired func(id string) bool, drop func(id string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := false
	for id, session := range e.byID {
		if session.pendingRenewals == 0 && expired(id) {
			delete(e.byID, id)
			drop(id)
			removed = true
		}
	}
	if removed {
		e.notifyChanged()
	}
}

// lagging returns the names, sorted and each once, of the entries with a session that
// has not reported the revision, and a channel that is closed when a session reports a
// newer revision or is removed. A new session that knows no revision (0) does not
// close it.
func (e *entrySessions) lagging(revision uint64) ([]string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for _, session := range e.byID {
		if session.knownRevision < revision {
			names = append(names, session.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), e.changed
}

// hasPendingRenewal reports whether a renewal of the session is not answered yet.
func (e *entrySessions) hasPendingRenewal(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[id]
	return ok && session.pendingRenewals > 0
}

// list returns copies of all sessions, sorted by name and id.
func (e *entrySessions) list() []entrySession {
	e.mu.Lock()
	defer e.mu.Unlock()
	sessions := make([]entrySession, 0, len(e.byID))
	for _, session := range e.byID {
		sessions = append(sessions, *session)
	}
	slices.SortFunc(sessions, func(a, b entrySession) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.id, b.id))
	})
	return sessions
}

// notifyChanged closes and replaces the changed channel. The caller holds mu.
func (e *entrySessions) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}
