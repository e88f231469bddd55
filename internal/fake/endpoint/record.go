package endpoint

import (
	"maps"
	"net/http"
	"sync"
)

// Record counts the requests that an endpoint received. A request is counted when
// its header arrives, whether or not the response is delivered.
type Record struct {
	ID              string         `json:"id"`
	Service         string         `json:"service"`
	Total           int            `json:"total"`
	InFlight        int            `json:"in_flight"`
	PeakInFlight    int            `json:"peak_in_flight"`
	Connections     int            `json:"connections"`
	PeakConnections int            `json:"peak_connections"`
	Runs            map[string]int `json:"runs"` // number of requests, by RequestKey
}

// recorder updates a Record; it is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	record Record
}

func newRecorder(id, service string) *recorder {
	return &recorder{record: Record{ID: id, Service: service, Runs: map[string]int{}}}
}

// requestStarted counts a request. A request without a key is counted only in the
// totals.
func (r *recorder) requestStarted(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Total++
	r.record.InFlight++
	r.record.PeakInFlight = max(r.record.PeakInFlight, r.record.InFlight)
	if key != "" {
		r.record.Runs[key]++
	}
}

func (r *recorder) requestFinished() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.InFlight--
}

// addConnections changes the number of open connections.
func (r *recorder) addConnections(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Connections += change
	r.record.PeakConnections = max(r.record.PeakConnections, r.record.Connections)
}

func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Runs = maps.Clone(record.Runs)
	return record
}

// RequestKey returns the key under which a request is counted: its Idempotency-Key
// or, without one, its nonce.
func RequestKey(header http.Header) string {
	if key := header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return header.Get(NonceHeader)
}
