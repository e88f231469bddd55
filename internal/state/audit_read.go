package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// AuditRecords returns copies of the newest audit records since the given Unix time
// in milliseconds, oldest first. Only records that name the object are returned, or
// all if it is empty. A limit of 0 or less means defaultAuditLimit; it is capped at
// maxAuditLimit.
func (s *Store) AuditRecords(sinceUnixMs int64, object string, limit int) []*apiv1.AuditRecord {
	return s.audit.list(sinceUnixMs, object, limit)
}
