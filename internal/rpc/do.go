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

// Do sends the request to the leader, as far as it is known, and elsewhere
// until one process answers or the request's context ends. A context without a
// deadline gets one.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	ctx := request.Context()
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
		defer cancel()
		ctx = limited
	}
	return c.retry(request.WithContext(ctx), body)
}

// retry makes attempts until one is answered.
func (c *Client) retry(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	fate := newFate(ctx)
	for tries := 1; ; tries++ {
		address := c.directory.pick()
		if address == "" {
			return nil, errors.Wrap(ErrUnreachable, "no address of a control process is configured")
		}
		result, err := c.attempt(request, body, address)
		if errors.Is(err, errResponseTooLarge) {
			return nil, err
		}
		if err == nil {
			leader, refused := notLeading(result)
			if !refused {
				c.directory.answered(address)
				return result.response, nil
			}
			c.directory.follow(leader, address)
			err = errors.Newf("%s does not lead", address)
			fate.refused(result)
		} else {
			fate.failed(err)
		}
		if fate.giveUp() || !c.pause(ctx, tries) {
			return nil, errors.Wrapf(fate.mark(errors.Mark(err, ErrUnreachable)), "gave up after %d attempts", tries)
		}
	}
}

// notLeading reports whether the answer is that of a process that does not
// lead, and whom it takes for the leader.
func notLeading(result answer) (leader string, refused bool) {
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

// pause waits after each round over the addresses, longer each time up to a
// bound, and returns false once ctx has ended. Half of the wait is random, so
// that callers that failed together don't try again together.
func (c *Client) pause(ctx context.Context, tries int) bool {
	if ctx.Err() != nil {
		return false
	}
	round := c.directory.size()
	if tries%round != 0 {
		return true
	}
	longest := c.options.RetryBackoff << min(tries/round-1, maxPauseDoublings)
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
