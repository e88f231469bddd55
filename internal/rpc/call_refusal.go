package rpc

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
)

// CallRefusal is an error response in the form of Twirp's, for faults that Twirp itself
// reports less clearly.
type CallRefusal struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"msg"`
}

// CheckCall returns the refusal of a call with a wrong method, content type or length, or
// nil. The body may have at most maxBody bytes.
func CheckCall(r *http.Request, maxBody int64) *CallRefusal {
	if r.Method != http.MethodPost {
		return &CallRefusal{http.StatusMethodNotAllowed, "method_not_allowed", "calls use POST"}
	}
	if r.ContentLength > maxBody {
		return &CallRefusal{
			http.StatusRequestEntityTooLarge, "body_too_large",
			fmt.Sprintf("the body has %d bytes; at most %d are allowed", r.ContentLength, maxBody),
		}
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" && kind != "application/protobuf" {
		return &CallRefusal{
			http.StatusUnsupportedMediaType, "unsupported_media_type",
			"the Content-Type must be application/json or application/protobuf",
		}
	}
	return nil
}

// Write sends the refusal as the response to the call.
func (c *CallRefusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(c.status)
	_ = json.NewEncoder(w).Encode(c)
}
