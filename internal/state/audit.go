package state

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of the audit trail, for each of its two parts. The oldest records go
// first. At 330 publications a day those of operators last for seven weeks.
const (
	maxAuditRecords = 16384
	maxAuditBytes   = 8 << 20

	maxAuditText    = 1024  // bytes of one text of a record
	maxAuditChanged = 10000 // names in one record

	auditRecordOverhead = 64 // bytes counted for a record beside its texts

	defaultAuditLimit = 100
	maxAuditLimit     = 10000
)

// auditTable keeps who changed what, and when. Endpoints come and go by
// themselves far more often than operators publish, so each kind of record has
// its own part: the one can't push the other out.
type auditTable struct {
	mu        sync.RWMutex
	operators auditTrail
	endpoints auditTrail
	next      uint64 // index of the next record
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
	t.trail(kept).add(kept)
}

// trail returns the part that a record belongs to.
func (t *auditTable) trail(record *apiv1.AuditRecord) *auditTrail {
	switch record.GetAction() {
	case ActionAnnounce, ActionWithdraw, ActionExpire:
		return &t.endpoints
	default:
		return &t.operators
	}
}

// list returns the newest records that match, oldest first.
func (t *auditTable) list(since int64, object string, limit int) []*apiv1.AuditRecord {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	limit = min(limit, maxAuditLimit)
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := append(t.operators.list(since, object, limit), t.endpoints.list(since, object, limit)...)
	sortRecords(found)
	return found[max(0, len(found)-limit):]
}

func (t *auditTable) snapshot() *apiv1.AuditSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	records := slices.Concat(t.operators.records, t.endpoints.records)
	sortRecords(records)
	return &apiv1.AuditSnapshot{Records: records, NextIndex: t.next}
}

func (t *auditTable) restore(snapshot *apiv1.AuditSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.operators, t.endpoints = auditTrail{}, auditTrail{}
	t.next = max(1, snapshot.GetNextIndex())
	for _, record := range snapshot.GetRecords() {
		t.trail(record).add(record)
	}
}

func sortRecords(records []*apiv1.AuditRecord) {
	slices.SortFunc(records, func(a, b *apiv1.AuditRecord) int {
		return cmp.Compare(a.GetIndex(), b.GetIndex())
	})
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
