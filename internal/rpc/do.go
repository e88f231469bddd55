package rpc

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Do sends the request to the presumed leader, and to the other control processes until
// the leader responds or the request's context ends. A context without a deadline is
// limited to Options.CallTimeout. It implements apiv1.HTTPClient.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	ctx := request.Context()
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
		defer cancel()
		ctx = limited
	}
	return newCall(c, request.WithContext(ctx), body).run()
}

// isUnread reports whether a process refused the connection or the request's header for lack
// of room: without a body, which all other refusals have. It has not read the call.
func isUnread(result bufferedResponse) bool {
	return result.response.StatusCode == http.StatusServiceUnavailable && len(result.body) == 0
}

// parseNotLeader reports whether a process refused the call because it is not the leader, or
// without having read it, and returns the address of the leader that it names.
func parseNotLeader(result bufferedResponse) (leader string, refused bool) {
	if isUnread(result) {
		return "", true
	}
	if result.response.StatusCode != http.StatusServiceUnavailable {
		return "", false
	}
	var refusal struct {
		Meta map[string]string `json:"meta"`
	}
	if err := json.Unmarshal(result.body, &refusal); err != nil {
		return "", false
	}
	leader, refused = refusal.Meta[leaderMeta]
	return leader, refused
}
