package rpc

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
)

// CallRefusal is the answer to a call that Twirp would refuse less clearly.
type CallRefusal struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"msg"`
}

// CheckCall returns why the call can't be served, or nil. The body may have
// maxBody bytes.
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

// Write answers the caller in the form of Twirp's errors.
func (c *CallRefusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(c.status)
	_ = json.NewEncoder(w).Encode(c)
}
