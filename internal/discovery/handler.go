package discovery

import (
	"net/http"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// maxBody bounds an announcement.
const maxBody = 64 << 10 // bytes

// NewHandler returns the HTTP form of discovery: Twirp as JSON or protobuf. Its
// calls are checked and forwarded to the leader.
func NewHandler(leader apiv1.Discovery) http.Handler {
	twirp := apiv1.NewDiscoveryServer(&forwarder{leader: leader})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := rpc.CheckCall(r, maxBody); refusal != nil {
			refusal.Write(w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		twirp.ServeHTTP(w, r)
	})
}
