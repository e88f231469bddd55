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

	maxAuditTextBytes    = 1024  // bytes of one text of a record
	maxAuditChangedNames = 10000 // names in one record

	auditRecordOverheadBytes = 64 // bytes counted for a record beside its texts

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
	nextIndex uint64 // index of the next record
}

func newAuditTable() *auditTable {
	return &auditTable{nextIndex: 1}
}

// add appends a copy of the record, stamped with its index and time.
func (t *auditTable) add(now int64, record *apiv1.AuditRecord) {
	stored := proto.CloneOf(record)
	truncateRecord(stored)
	stored.UnixMs = now
	t.mu.Lock()
	defer t.mu.Unlock()
	stored.Index = t.nextIndex
	t.nextIndex++
	t.trailFor(stored).add(stored)
}

// trailFor returns the part that a record belongs to.
func (t *auditTable) trailFor(record *apiv1.AuditRecord) *auditTrail {
	switch record.GetAction() {
	case ActionAnnounce, ActionWithdraw, ActionExpire:
		return &t.endpoints
	default:
		return &t.operators
	}
}

// list returns the newest records that match, oldest first.
func (t *auditTable) list(sinceUnixMs int64, object string, limit int) []*apiv1.AuditRecord {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	limit = min(limit, maxAuditLimit)
	t.mu.RLock()
	defer t.mu.RUnlock()
	matches := append(t.operators.list(sinceUnixMs, object, limit), t.endpoints.list(sinceUnixMs, object, limit)...)
	sortRecords(matches)
	return matches[max(0, len(matches)-limit):]
}

func (t *auditTable) snapshot() *apiv1.AuditSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	records := slices.Concat(t.operators.records, t.endpoints.records)
	sortRecords(records)
	return &apiv1.AuditSnapshot{Records: records, NextIndex: t.nextIndex}
}

func (t *auditTable) restore(snapshot *apiv1.AuditSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.operators, t.endpoints = auditTrail{}, auditTrail{}
	t.nextIndex = max(1, snapshot.GetNextIndex())
	for _, record := range snapshot.GetRecords() {
		t.trailFor(record).add(record)
	}
}

func sortRecords(records []*apiv1.AuditRecord) {
	slices.SortFunc(records, func(a, b *apiv1.AuditRecord) int {
		return cmp.Compare(a.GetIndex(), b.GetIndex())
	})
}

// matchesObject reports whether the record is about the object, or about every one
// if the name is empty.
func matchesObject(record *apiv1.AuditRecord, object string) bool {
	return object == "" || record.GetObject() == object || slices.Contains(record.GetChanged(), object)
}

// auditRecordSize counts the same for the same record in every version of the codec.
func auditRecordSize(record *apiv1.AuditRecord) int {
	size := auditRecordOverheadBytes
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
	if len(record.GetChanged()) > maxAuditChangedNames {
		record.Changed = record.GetChanged()[:maxAuditChangedNames]
	}
	for i, name := range record.GetChanged() {
		record.Changed[i] = truncate(name)
	}
}
