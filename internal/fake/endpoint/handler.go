package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

const maxEcho = 64 << 20 // bytes of one request's body

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/record", e.serveRecord)
	mux.HandleFunc("PUT /-/behaviour", e.serveBehaviour)
	mux.HandleFunc("/", e.serveEcho)
	return mux
}

func (e *Endpoint) serveRecord(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Record())
}

func (e *Endpoint) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var behaviour Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&behaviour); err != nil {
		http.Error(w, "behaviour is not JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetBehaviour(behaviour)
	w.WriteHeader(http.StatusNoContent)
}

// serveEcho runs the request: it records it and answers with its body.
func (e *Endpoint) serveEcho(w http.ResponseWriter, r *http.Request) {
	e.recorder.begin(RequestKey(r.Header))
	defer e.recorder.end()
	behaviour := *e.behaviour.Load()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEcho))
	if err != nil {
		http.Error(w, "body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait(r.Context(), behaviour.Delay)
	if behaviour.DropResponse {
		panic(http.ErrAbortHandler)
	}
	e.writeHeader(w, r, behaviour, len(body))
	if behaviour.TruncateBody {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (e *Endpoint) writeHeader(w http.ResponseWriter, r *http.Request, behaviour Behaviour, length int) {
	header := w.Header()
	header.Set(EndpointHeader, e.ID())
	header.Set(NonceHeader, r.Header.Get(NonceHeader))
	header.Set("Content-Type", "application/octet-stream")
	if behaviour.TruncateBody {
		length++ // even an empty body is then missing something
	}
	header.Set("Content-Length", strconv.Itoa(length))
	status := behaviour.Status
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}
