package daemon

import (
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/rpc"
)

// refusingHandler refuses every call for the reason. The refusal also says that this
// process does not lead and that the call had no effect, so that clients try the next
// process.
func refusingHandler(reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refusal := rpc.Refusal(reason)
		// A write error means that the client has disconnected.
		_ = twirp.WriteError(w, refusal)
	})
}
