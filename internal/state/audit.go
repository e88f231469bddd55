package state

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of the audit trail. The number and the bytes of records apply to each of
// its two parts, which drop their oldest records first. At 330 publications a day
// the operators' records are kept for seven weeks.
const (
	maxAuditRecords = 16384
	maxAuditBytes   = 8 << 20

	maxAuditTextBytes    = 1024  // of each text of a record
	maxAuditChangedNames = 10000 // of one record

	auditRecordOverheadBytes = 64 // counted for each record in addition to its texts

	defaultAuditLimit = 100
	maxAuditLimit     = 10000
)

// auditTable records who changed what, and when. Endpoints are announced and
// withdrawn far more often than operators publish. The records of each kind are
// therefore bounded separately, so that endpoint records don't displace those of
// operators.
type auditTable struct {
	mu        sync.RWMutex
	operators auditTrail // all other actions
	endpoints auditTrail // announcements, withdrawals and expiries
	nextIndex uint64     // of the next record to add
}

func newAuditTable() *auditTable {
	return &auditTable{nextIndex: 1}
}

// add appends a truncated copy of the record, with the next index and the given time.
func (t *auditTable) add(nowUnixMs int64, record *apiv1.AuditRecord) {
	stored := proto.CloneOf(record)
	truncateRecord(stored)
	stored.UnixMs = nowUnixMs
	t.mu.Lock()
	defer t.mu.Unlock()
	stored.Index = t.nextIndex
	t.nextIndex++
	t.trailFor(stored).add(stored)
}

// trailFor returns the trail that the record belongs to, by its action. The caller
// holds the lock.
func (t *auditTable) trailFor(record *apiv1.AuditRecord) *auditTrail {
	switch record.GetAction() {
	case ActionAnnounce, ActionWithdraw, ActionExpire:
		return &t.endpoints
	default:
		return &t.operators
	}
}

// list returns copies of the newest matching records, oldest first. A limit of 0
// or less means defaultAuditLimit; it is capped at maxAuditLimit.
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

// matchesObject reports whether the record names the object, as its own object or
// among the changed ones. An empty object matches every record.
func matchesObject(record *apiv1.AuditRecord, object string) bool {
	return object == "" || record.GetObject() == object || slices.Contains(record.GetChanged(), object)
}

// auditRecordSize returns the size of a record in bytes. It doesn't use the encoded
// size, since all replicas must compute the same one, whatever version of the codec
// they run.
func auditRecordSize(record *apiv1.AuditRecord) int {
	size := auditRecordOverheadBytes
	size += len(record.GetActor()) + len(record.GetAction()) + len(record.GetObject())
	size += len(record.GetOutcome()) + len(record.GetDetail())
	for _, name := range record.GetChanged() {
		size += len(name)
	}
	return size
}

// truncateRecord bounds the texts and the number of changed names of the record.
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
