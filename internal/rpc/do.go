package rpc

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

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
	return c.retry(request.WithContext(ctx), body)
}

// retry makes attempts until the leader responds, the context ends, or the search for a
// leader has taken too long.
func (c *Client) retry(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	effect := newCallEffect(ctx)
	for attempts := 1; ; attempts++ {
		address := c.directory.pick()
		if address == "" {
			return nil, errors.Wrap(ErrUnreachable, "no address of a control process is configured")
		}
		result, err := c.attempt(request, body, address)
		if errors.Is(err, errResponseTooLarge) {
			return nil, err
		}
		if err == nil {
			leader, notLeader := parseNotLeader(result)
			if !notLeader {
				c.directory.markLeader(address)
				return result.response, nil
			}
			c.directory.redirect(leader, address)
			err = errors.Newf("%s is not the leader", address)
			effect.recordRefusal(result)
		} else {
			effect.recordFailure(err)
		}
		if effect.shouldGiveUp() || !c.backoff(ctx, attempts) {
			return nil, errors.Wrapf(effect.markError(errors.Mark(err, ErrUnreachable)), "gave up after %d attempts", attempts)
		}
	}
}

// parseNotLeader reports whether a process refused the call because it is not the leader,
// and returns the address of the leader that it names.
func parseNotLeader(result bufferedResponse) (leader string, refused bool) {
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

// backoff waits after each round over the addresses, with exponential backoff up to a
// limit. It returns false once ctx has ended. Half of the wait is random, so that callers
// that failed together don't retry together.
func (c *Client) backoff(ctx context.Context, attempts int) bool {
	if ctx.Err() != nil {
		return false
	}
	round := c.directory.size()
	if attempts%round != 0 {
		return true
	}
	longest := c.options.RetryBackoff << min(attempts/round-1, maxBackoffDoublings)
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
