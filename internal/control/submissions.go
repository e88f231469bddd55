package control

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/dispatch"
)

// submissions keeps refusals true while an entry may send the same call to this process more
// than once: either all copies are refused, or none is. Copies of a call with a binding decision
// get that decision, so that they take nothing more from the rate of their workspace.
type submissions struct {
	mu       sync.Mutex
	inFlight map[string]*proposals         // proposals of a job that are not over, by its id
	refused  map[string]dispatch.Admission // by call
	accepted map[string]dispatch.Admission // by call; binding decisions only
	order    []decidedCall                 // of the calls in refused and accepted, oldest first
}

// proposals are those of one job that are not over.
type proposals struct {
	count     int
	admission dispatch.Admission // of the first one
}

// decidedCall is when a call was decided.
type decidedCall struct {
	call string
	at   time.Time
}

// refusalRetention is longer than any copy of a call can be on its way.
const refusalRetention = time.Minute

func newSubmissions() *submissions {
	return &submissions{
		inFlight: make(map[string]*proposals), refused: make(map[string]dispatch.Admission), accepted: make(map[string]dispatch.Admission),
	}
}

// begin decides on a copy of a call that submits the job. A call without a name, from an entry
// of an earlier version, is never refused. If the job is not refused, the caller calls end when
// its proposal is over.
func (s *submissions) begin(id, call string, now time.Time, admit func() dispatch.Admission) dispatch.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	admission := s.decide(id, call, now, admit)
	if admission.Refused {
		return admission
	}
	if s.inFlight[id] == nil {
		s.inFlight[id] = &proposals{admission: admission}
	}
	s.inFlight[id].count++
	return admission
}

// decide returns the decision on a call: that on the job's proposals in flight or on an earlier
// copy of the call, if there are any, and otherwise a new one.
func (s *submissions) decide(id, call string, now time.Time, admit func() dispatch.Admission) dispatch.Admission {
	if p := s.inFlight[id]; p != nil {
		return p.admission
	}
	if call == "" {
		return dispatch.Admission{}
	}
	if earlier, ok := s.refused[call]; ok {
		earlier.RetryAfter = dispatch.MinAdmissionRetry
		return earlier
	}
	if earlier, ok := s.accepted[call]; ok {
		return earlier
	}
	admission := admit()
	s.record(call, now, admission)
	return admission
}

// record remembers the decision on a call, if it holds for the copies of the call.
func (s *submissions) record(call string, now time.Time, admission dispatch.Admission) {
	switch {
	case admission.Refused:
		s.refused[call] = admission
	case admission.Binding:
		s.accepted[call] = admission
	default:
		return
	}
	s.order = append(s.order, decidedCall{call, now})
	s.forgetOldDecisions(now)
}

// forgetOldDecisions keeps the decided calls from growing without a bound. It looks at old ones
// only: when calls are refused at all, thousands are in a minute.
func (s *submissions) forgetOldDecisions(now time.Time) {
	old := 0
	for old < len(s.order) && now.Sub(s.order[old].at) > refusalRetention {
		delete(s.refused, s.order[old].call)
		delete(s.accepted, s.order[old].call)
		old++
	}
	s.order = s.order[old:]
}

// end records that a proposal of the job is over.
func (s *submissions) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.inFlight[id]
	if p.count--; p.count == 0 {
		delete(s.inFlight, id)
	}
}
