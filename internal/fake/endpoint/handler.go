package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

const maxBodyBytes = 64 << 20 // bytes of a request

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
		http.Error(w, "behaviour is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetBehaviour(behaviour)
	w.WriteHeader(http.StatusNoContent)
}

// serveEcho records the request and responds with its body, as modified by the
// current Behaviour.
func (e *Endpoint) serveEcho(w http.ResponseWriter, r *http.Request) {
	e.recorder.requestStarted(RequestKey(r.Header))
	defer e.recorder.requestFinished()
	behaviour := *e.behaviour.Load()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "read request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	sleep(r.Context(), behaviour.Delay)
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
		length++ // so that an empty body is incomplete too
	}
	header.Set("Content-Length", strconv.Itoa(length))
	status := behaviour.Status
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}
