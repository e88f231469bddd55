package control

import (
	"context"
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// repairAudit writes the audit records of one leadership's membership changes, in the order of the changes. The steps
// of a repair don't wait for it. It is safe for concurrent use.
type repairAudit struct {
	*leadership

	mu      sync.Mutex
	waiting []*apiv1.AuditRecord
	writing bool
}

// record writes the record in the background. The caller is a duty of the leadership.
func (a *repairAudit) record(record *apiv1.AuditRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, record)
	if a.writing {
		return
	}
	a.writing = true
	a.duties.Go(func() error {
		for records := a.take(); len(records) > 0; records = a.take() {
			a.write(records)
		}
		return nil
	})
}

// take returns the records to write next. Without any, the next record is written by another goroutine.
func (a *repairAudit) take() []*apiv1.AuditRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := a.waiting
	a.waiting = nil
	a.writing = len(records) > 0
	return records
}

func (a *repairAudit) write(records []*apiv1.AuditRecord) {
	ctx, cancel := context.WithTimeout(a.ctx, memberChangeTimeout)
	defer cancel()
	if err := a.server.recordAudit(ctx, records...); err != nil {
		a.server.Logger.Warn("audit records of membership changes not written", "records", len(records), "error", err)
	}
}
