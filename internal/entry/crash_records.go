package entry

import (
	"container/list"
	"sync"
	"time"
)

const (
	maxCrashRecords     = 1024 // per service
	crashRecordLifetime = 10 * time.Minute

	// minRefusal is how long a request is refused after maxBreaks breaks: short,
	// since two ordinary crashes in a row look the same. Each further break
	// multiplies it, up to maxRefusal.
	minRefusal    = time.Second
	refusalFactor = 4
	maxRefusal    = 5 * time.Minute
)

// crashRecord holds the breaks under the sends of one request, whoever sent it.
type crashRecord struct {
	identity     string // digest of the request
	breaks       int    // without those of sends that were under way at an earlier one
	lastBreak    time.Time
	refusedUntil time.Time
	probing      bool // one request was let through after a refusal and is under way
}

// crashRecords remembers the requests of one service under which endpoints closed
// their connections, so that they are recognized when they are sent again. It is
// safe for concurrent use.
type crashRecords struct {
	mu         sync.Mutex
	byIdentity map[string]*list.Element
	byAge      *list.List // of *crashRecord; least recent break first
}

func newCrashRecords() *crashRecords {
	return &crashRecords{byIdentity: make(map[string]*list.Element), byAge: list.New()}
}

// empty reports whether no request is recorded.
func (r *crashRecords) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byAge.Len() == 0
}

// crashAdmission says how a request may be sent.
type crashAdmission struct {
	refusedFor time.Duration // 0: it may be sent
	suspect    bool          // it may have crashed an endpoint
	probe      bool          // others like it are refused until endProbe
	breaks     int
}

// admit decides whether a request may be sent. After a refusal one request at a time
// is sent as a probe.
func (r *crashRecords) admit(identity string, now time.Time) crashAdmission {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.find(identity, now)
	switch {
	case record == nil:
		return crashAdmission{}
	case record.breaks < maxBreaks:
		return crashAdmission{suspect: true, breaks: record.breaks}
	case now.Before(record.refusedUntil):
		return crashAdmission{refusedFor: record.refusedUntil.Sub(now), breaks: record.breaks}
	case record.probing:
		return crashAdmission{refusedFor: minRefusal, breaks: record.breaks}
	default:
		record.probing = true
		return crashAdmission{suspect: true, probe: true, breaks: record.breaks}
	}
}

// refusal returns the breaks under the request so far and for how long it is refused.
func (r *crashRecords) refusal(identity string, now time.Time) (breaks int, refusedFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.find(identity, now)
	if record == nil {
		return 0, 0
	}
	return record.breaks, max(0, record.refusedUntil.Sub(now))
}

// recordBreak records a break under a send that began at sentAt. It returns the
// breaks so far and how long the request is refused from now on.
func (r *crashRecords) recordBreak(identity string, sentAt, now time.Time) (breaks int, refusedFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.find(identity, now)
	if record == nil {
		record = r.add(identity)
	} else if !sentAt.After(record.lastBreak) {
		// Sent before the last break was known: on the same endpoint, or on one that
		// went at the same time.
		return record.breaks, max(0, record.refusedUntil.Sub(now))
	}
	record.breaks++
	record.lastBreak = now
	r.byAge.MoveToBack(r.byIdentity[identity])
	if record.breaks < maxBreaks {
		return record.breaks, 0
	}
	refusedFor = refusalAfter(record.breaks)
	record.refusedUntil = now.Add(refusedFor)
	return record.breaks, refusedFor
}

// refusalAfter returns how long a request is refused after so many breaks.
func refusalAfter(breaks int) time.Duration {
	refusal := minRefusal
	for range breaks - maxBreaks {
		if refusal = min(refusal*refusalFactor, maxRefusal); refusal == maxRefusal {
			break
		}
	}
	return refusal
}

// endProbe lets the next probe through once the refusal is over.
func (r *crashRecords) endProbe(identity string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.find(identity, now); record != nil {
		record.probing = false
	}
}

// forget removes the record of a request that an endpoint answered, and returns its
// breaks.
func (r *crashRecords) forget(identity string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.find(identity, now)
	if record == nil {
		return 0
	}
	r.remove(r.byIdentity[identity])
	return record.breaks
}

// find returns the record, or nil if there is none or it has expired. r.mu must be
// held, as in the functions below.
func (r *crashRecords) find(identity string, now time.Time) *crashRecord {
	r.expire(now)
	element, ok := r.byIdentity[identity]
	if !ok {
		return nil
	}
	return element.Value.(*crashRecord)
}

// expire removes the records that are older than crashRecordLifetime.
func (r *crashRecords) expire(now time.Time) {
	for {
		oldest := r.byAge.Front()
		if oldest == nil || now.Sub(oldest.Value.(*crashRecord).lastBreak) < crashRecordLifetime {
			return
		}
		r.remove(oldest)
	}
}

// add adds an empty record in place of the oldest one if there are maxCrashRecords.
func (r *crashRecords) add(identity string) *crashRecord {
	if r.byAge.Len() >= maxCrashRecords {
		r.remove(r.byAge.Front())
	}
	record := &crashRecord{identity: identity}
	r.byIdentity[identity] = r.byAge.PushBack(record)
	return record
}

func (r *crashRecords) remove(element *list.Element) {
	record := r.byAge.Remove(element).(*crashRecord)
	delete(r.byIdentity, record.identity)
}
