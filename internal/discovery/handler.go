package discovery

import (
	"net/http"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// maxBodyBytes limits the body of a call.
const maxBodyBytes = 64 << 10

// NewHandler returns the HTTP handler of the Discovery service: Twirp as JSON or
// protobuf. Calls are checked and forwarded to the leader.
func NewHandler(leader apiv1.Discovery) http.Handler {
	twirp := apiv1.NewDiscoveryServer(&forwarder{leader: leader})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := rpc.CheckCall(r, maxBodyBytes); refusal != nil {
			refusal.Write(w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		twirp.ServeHTTP(w, r)
	})
}
