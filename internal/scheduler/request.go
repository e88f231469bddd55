package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Request is a task for which a worker is sought.
type Request struct {
	Amount        resources.Amount
	Class         apiv1.Class
	ExpectedRunMs int64 // expected run time in milliseconds; 0: unknown
	Now           int64 // Unix milliseconds

	job *job
}

func (c *Cell) newRequest(j *job) *Request {
	return &Request{
		Amount:        j.amount,
		Class:         j.class(),
		ExpectedRunMs: j.spec.GetExpectedRunMs(),
		Now:           c.now,
		job:           j,
	}
}
