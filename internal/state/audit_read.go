package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// AuditRecords returns the newest records since the given Unix time in milliseconds,
// oldest first, that concern the object; an empty object means all. A limit of
// zero means a default.
func (s *Store) AuditRecords(sinceUnixMs int64, object string, limit int) []*apiv1.AuditRecord {
	return s.audit.list(sinceUnixMs, object, limit)
}
