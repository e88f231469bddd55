package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// restrictedRun adds a job whose start needs a ticket to a pool of one worker. It returns its
// run, placed with the ticket "old", which expires at the time.
func restrictedRun(p *pool, expires time.Time) *run {
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "job", Queue: restrictedQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 0)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	w, u := p.workerList[0], j.units[0]
	w.observeClock(1, time.Now())
	setTicket(u, w, "old", expires)
	p.startRuns(u, []placement{{u.tasks[0], w, "old"}}, time.Now())
	return u.tasks[0].run
}

func setTicket(u *unit, w *worker, value string, expires time.Time) {
	u.advice.recordAnswer([]*worker{w}, map[string]string{w.record.GetId(): value}, expires)
}

// A start that waited while its unit's ticket was renewed carried the expired one.
func TestStartAfterARenewedTicketCarriesIt(t *testing.T) {
	is := is.New(t)
	p := fullPool(1)
	r := restrictedRun(p, time.Now().Add(-time.Second))
	setTicket(r.task.unit, r.worker, "new", time.Now().Add(time.Minute))
	req, _, sent := p.startRequest(r, "", 1)
	is.True(sent)
	is.Equal(req.Ticket, "new")
}

// Only the first attempt was checked. A later one whose ticket has expired is not sent, unless
// an earlier one may have started the run.
func TestStartIsNotSentAgainWithAnExpiredTicket(t *testing.T) {
	for _, c := range []struct {
		name         string
		firstAttempt error
		sentAgain    bool
	}{
		{"the first attempt was not sent", ErrNotSent, false},
		{"the first attempt got no response", errNoResponse, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := fullPool(1)
			r := restrictedRun(p, time.Now().Add(time.Minute))
			_, _, sent := p.startRequest(r, "", 1)
			is.True(sent)
			is.Equal(p.handleStartResult(r, Response{}, c.firstAttempt, time.Now(), 1), false)
			setTicket(r.task.unit, r.worker, "old", time.Now().Add(-time.Second))
			_, _, sent = p.startRequest(r, "", 2)
			is.Equal(sent, c.sentAgain)
			is.Equal(r.task.run != nil, c.sentAgain)
		})
	}
}

// The validity of tickets that a busy leader reads late counted from when it read them.
func TestTicketReadLateExpiresInTime(t *testing.T) {
	const validity = time.Minute
	now := time.Now()
	for _, c := range []struct {
		name           string
		expectedAnswer time.Time
		late           bool
	}{
		{"read when it was expected or before", now.Add(time.Hour), false},
		{"read late", now.Add(-10 * time.Second), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := fullPool(1)
			r := restrictedRun(p, now)
			u, w := r.task.unit, r.worker
			u.job.queue.Policy.ValidityMs = validity.Milliseconds()
			p.handleAdvice(adviceCall{unit: u, workers: []*worker{w}, expectedAnswer: c.expectedAnswer},
				&apiv1.AdviseResponse{Tickets: []*apiv1.Ticket{{Worker: w.record.GetId(), Ticket: "new"}}}, nil)
			expires := u.advice.tickets[w].expires
			if c.late {
				is.Equal(expires, c.expectedAnswer.Add(validity-ticketMargin))
			} else {
				is.True(!expires.Before(now.Add(validity-ticketMargin)) && expires.Before(c.expectedAnswer))
			}
		})
	}
}
