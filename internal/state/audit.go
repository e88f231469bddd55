package state

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of the audit trail. The oldest records go first.
const (
	maxAuditRecords = 32768
	maxAuditBytes   = 16 << 20

	maxAuditText    = 1024  // bytes of one text of a record
	maxAuditChanged = 10000 // names in one record

	auditRecordOverhead = 64 // bytes counted for a record beside its texts

	defaultAuditLimit = 100
	maxAuditLimit     = 10000
)

// auditTable keeps who changed what, and when.
type auditTable struct {
	mu      sync.RWMutex
	records []*apiv1.AuditRecord // oldest first
	next    uint64               // index of the next record
	bytes   int
}

func newAuditTable() *auditTable {
	return &auditTable{next: 1}
}

// add appends a copy of the record, stamped with its index and time.
func (t *auditTable) add(now int64, record *apiv1.AuditRecord) {
	kept := proto.CloneOf(record)
	truncateRecord(kept)
	kept.UnixMs = now
	t.mu.Lock()
	defer t.mu.Unlock()
	kept.Index = t.next
	t.next++
	t.records = append(t.records, kept)
	t.bytes += auditSize(kept)
	t.evict()
}

func (t *auditTable) evict() {
	drop := 0
	for len(t.records)-drop > 1 && (len(t.records)-drop > maxAuditRecords || t.bytes > maxAuditBytes) {
		t.bytes -= auditSize(t.records[drop])
		t.records[drop] = nil
		drop++
	}
	t.records = t.records[drop:]
}

// list returns the newest records that match, oldest first.
func (t *auditTable) list(since int64, object string, limit int) []*apiv1.AuditRecord {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	limit = min(limit, maxAuditLimit)
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []*apiv1.AuditRecord
	for _, record := range slices.Backward(t.records) {
		if len(found) == limit || record.GetUnixMs() < since {
			break
		}
		if concerns(record, object) {
			found = append(found, proto.CloneOf(record))
		}
	}
	slices.Reverse(found)
	return found
}

func (t *auditTable) snapshot() *apiv1.AuditSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &apiv1.AuditSnapshot{Records: slices.Clone(t.records), NextIndex: t.next}
}

func (t *auditTable) restore(snapshot *apiv1.AuditSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = snapshot.GetRecords()
	t.next = max(1, snapshot.GetNextIndex())
	t.bytes = 0
	for _, record := range t.records {
		t.bytes += auditSize(record)
	}
}

// concerns reports whether the record is about the object, or about every one
// if the name is empty.
func concerns(record *apiv1.AuditRecord, object string) bool {
	return object == "" || record.GetObject() == object || slices.Contains(record.GetChanged(), object)
}

// auditSize counts the same for the same record in every version of the codec.
func auditSize(record *apiv1.AuditRecord) int {
	size := auditRecordOverhead
	size += len(record.GetActor()) + len(record.GetAction()) + len(record.GetObject())
	size += len(record.GetOutcome()) + len(record.GetDetail())
	for _, name := range record.GetChanged() {
		size += len(name)
	}
	return size
}

func truncateRecord(record *apiv1.AuditRecord) {
	record.Actor = truncate(record.GetActor())
	record.Action = truncate(record.GetAction())
	record.Object = truncate(record.GetObject())
	record.Outcome = truncate(record.GetOutcome())
	record.Detail = truncate(record.GetDetail())
	if len(record.GetChanged()) > maxAuditChanged {
		record.Changed = record.GetChanged()[:maxAuditChanged]
	}
	for i, name := range record.GetChanged() {
		record.Changed[i] = truncate(name)
	}
}
