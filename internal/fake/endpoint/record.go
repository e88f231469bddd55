package endpoint

import (
	"maps"
	"net/http"
	"sync"
)

// Record is what an endpoint ran. A request counts as run from the receipt of
// its header, whatever becomes of its answer.
type Record struct {
	ID              string         `json:"id"`
	Service         string         `json:"service"`
	Total           int            `json:"total"`
	InFlight        int            `json:"in_flight"`
	PeakInFlight    int            `json:"peak_in_flight"`
	Connections     int            `json:"connections"`
	PeakConnections int            `json:"peak_connections"`
	Runs            map[string]int `json:"runs"` // by key
}

// recorder keeps a Record under its lock.
type recorder struct {
	mu     sync.Mutex
	record Record
}

func newRecorder(id, service string) *recorder {
	return &recorder{record: Record{ID: id, Service: service, Runs: map[string]int{}}}
}

// begin notes a request. A request without a key counts in the totals alone.
func (r *recorder) begin(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Total++
	r.record.InFlight++
	r.record.PeakInFlight = max(r.record.PeakInFlight, r.record.InFlight)
	if key != "" {
		r.record.Runs[key]++
	}
}

func (r *recorder) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.InFlight--
}

func (r *recorder) connections(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Connections += change
	r.record.PeakConnections = max(r.record.PeakConnections, r.record.Connections)
}

func (r *recorder) read() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Runs = maps.Clone(record.Runs)
	return record
}

// RequestKey returns the key under which a request is recorded: its
// Idempotency-Key, or else its nonce.
func RequestKey(header http.Header) string {
	if key := header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return header.Get(NonceHeader)
}
