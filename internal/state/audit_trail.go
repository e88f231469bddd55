package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// auditTrail is a bounded list of records. The caller holds the lock of the
// auditTable.
type auditTrail struct {
	records []*apiv1.AuditRecord // oldest first; each is immutable
	bytes   int                  // sum of auditRecordSize
}

// add appends the record and drops the oldest ones beyond the bounds.
func (t *auditTrail) add(record *apiv1.AuditRecord) {
	t.records = append(t.records, record)
	t.bytes += auditRecordSize(record)
	for len(t.records) > maxAuditRecords || (t.bytes > maxAuditBytes && len(t.records) > 1) {
		t.bytes -= auditRecordSize(t.records[0])
		t.records[0] = nil
		t.records = t.records[1:]
	}
}

// list returns copies of the newest matching records, newest first.
func (t *auditTrail) list(sinceUnixMs int64, object string, limit int) []*apiv1.AuditRecord {
	var matches []*apiv1.AuditRecord
	for _, record := range slices.Backward(t.records) {
		if len(matches) == limit || record.GetUnixMs() < sinceUnixMs {
			break
		}
		if matchesObject(record, object) {
			matches = append(matches, proto.CloneOf(record))
		}
	}
	return matches
}
