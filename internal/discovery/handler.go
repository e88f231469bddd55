package discovery

import (
	"encoding/json"
	"mime"
	"net/http"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxBody bounds an announcement.
const maxBody = 64 << 10 // bytes

// NewHandler returns the HTTP form of discovery: Twirp as JSON or protobuf. Its
// calls are checked and forwarded to the leader.
func NewHandler(leader apiv1.Discovery) http.Handler {
	twirp := apiv1.NewDiscoveryServer(&forwarder{leader: leader})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status, code, message := checkRequest(r); status != 0 {
			refuse(w, status, code, message)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		twirp.ServeHTTP(w, r)
	})
}

// checkRequest refuses what Twirp would answer less clearly.
func checkRequest(r *http.Request) (status int, code, message string) {
	if r.Method != http.MethodPost {
		return http.StatusMethodNotAllowed, "method_not_allowed", "use POST"
	}
	if r.ContentLength > maxBody {
		return http.StatusRequestEntityTooLarge, "body_too_large", "the body is longer than 65536 bytes"
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" && kind != "application/protobuf" {
		return http.StatusUnsupportedMediaType, "unsupported_media_type",
			"the Content-Type must be application/json or application/protobuf"
	}
	return 0, "", ""
}

// refusal is the JSON form of an error, as Twirp has it.
type refusal struct {
	Code    string `json:"code"`
	Message string `json:"msg"`
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	body, err := json.Marshal(refusal{Code: code, Message: message})
	if err != nil {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
