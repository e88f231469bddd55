package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxEntrySessions bounds the sessions of one term.
const maxEntrySessions = 4096

var errOvertaken = twirp.NewError(twirp.Aborted, "a newer renewal of the session overtook this one")

// entrySession is one run of an entry process, as the leader knows it.
type entrySession struct {
	id       string
	name     string
	location *apiv1.Location
	address  string
	draining bool
	known    uint64 // largest revision that the entry reported
	pending  int    // renewals received and not yet answered
	sequence uint64 // of the newest renewal
	answered bool   // in this term
	granted  []*apiv1.SlotHold
	tag      uint64 // of granted; 0: none
}

// entrySessions are the sessions that may hold a lease of this term. A session
// is listed from the receipt of its first renewal, before anything is read for
// the answer: whoever looks for entries that lag then finds it, or it is going
// to read what that one has seen.
type entrySessions struct {
	mu      sync.Mutex
	byID    map[string]*entrySession
	changed chan struct{} // closed and replaced when a session reports or goes
	lastTag uint64
}

func newEntrySessions() *entrySessions {
	return &entrySessions{
		byID:    make(map[string]*entrySession),
		changed: make(chan struct{}),
	}
}

// begin notes the receipt of a renewal and returns the session. It refuses one
// that a newer one overtook, and new sessions beyond the bound.
func (e *entrySessions) begin(request *apiv1.RenewEntryRequest) (entrySession, error) {
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
		sequence = session.sequence + 1 // in the order of arrival
	}
	if sequence < session.sequence {
		return entrySession{}, errOvertaken
	}
	session.sequence = sequence
	session.name = request.GetEntry()
	session.location = request.GetLocation()
	session.address = request.GetAddress()
	session.draining = request.GetDraining()
	session.pending++
	if request.GetKnownRevision() > session.known {
		session.known = request.GetKnownRevision()
		e.wake()
	}
	return *session, nil
}

// end notes that a renewal was answered, or refused if the response is nil.
func (e *entrySessions) end(id string, response *apiv1.RenewEntryResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[id]
	if !ok {
		return
	}
	session.pending--
	if response == nil {
		return
	}
	session.answered = true
	if !response.GetGrantsUnchanged() {
		session.granted = response.GetGrants()
		session.tag = response.GetGrantsTag()
	}
}

// overtaken reports whether a newer renewal of the session has arrived than
// the one that the copy was made for.
func (e *entrySessions) overtaken(earlier entrySession) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[earlier.id]
	return ok && session.sequence > earlier.sequence
}

// nextTag returns a tag that no answer of this term carries yet.
func (e *entrySessions) nextTag() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastTag++
	return e.lastTag
}

// remove drops the sessions that no renewal is pending for and that gone says
// are gone. No renewal of such a session begins until drop has been called.
func (e *entrySessions) remove(gone func(id string) bool, drop func(id string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := false
	for id, session := range e.byID {
		if session.pending == 0 && gone(id) {
			delete(e.byID, id)
			drop(id)
			removed = true
		}
	}
	if removed {
		e.wake()
	}
}

// behind returns the names of the entries that have not reported the revision,
// sorted, and a channel that is closed when that may have changed.
func (e *entrySessions) behind(revision uint64) ([]string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for _, session := range e.byID {
		if session.known < revision {
			names = append(names, session.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), e.changed
}

// pending reports whether a renewal of the session waits for its answer.
func (e *entrySessions) pending(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	session, ok := e.byID[id]
	return ok && session.pending > 0
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

func (e *entrySessions) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}
