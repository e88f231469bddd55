package rpc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// ErrNoEffect marks the failure of a call that certainly had no effect: no process
// received it, or those that did refused it.
var ErrNoEffect = errors.New("the call had no effect")

// errNothingSent marks an attempt for which no connection was made.
var errNothingSent = errors.New("nothing was sent")

// mayHaveEffectMeta is the metadata key of a refusal whose call may still take effect.
const mayHaveEffectMeta = "unclear"

type leaderSearchTimeoutKey struct{}

// WithLeaderSearchTimeout limits how long a call searches for a leader. Once an attempt
// may have had an effect, only the context's deadline ends the call.
func WithLeaderSearchTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, leaderSearchTimeoutKey{}, timeout)
}

// callEffect tracks whether the failed attempts of a call may have had an effect.
type callEffect struct {
	possible       bool      // some attempt may have had an effect
	searchDeadline time.Time // give up then if no effect is possible; zero: never
}

// newCallEffect returns the state of a call without attempts. Its search for a leader
// starts now.
func newCallEffect(ctx context.Context) *callEffect {
	e := &callEffect{}
	if timeout, ok := ctx.Value(leaderSearchTimeoutKey{}).(time.Duration); ok {
		e.searchDeadline = time.Now().Add(timeout)
	}
	return e
}

// recordFailure records an attempt without a response, and reports whether it may have had an effect: it
// certainly had none only if no connection was made.
func (e *callEffect) recordFailure(err error) bool {
	possible := !errors.Is(err, errNothingSent)
	e.possible = e.possible || possible
	return possible
}

// recordRefusal records the response of a process that is not the leader, and reports whether the call
// may have had an effect all the same.
func (e *callEffect) recordRefusal(result bufferedResponse) bool {
	if isUnread(result) {
		return false
	}
	var refusal struct {
		Meta map[string]string `json:"meta"`
	}
	if err := json.Unmarshal(result.body, &refusal); err != nil || refusal.Meta[mayHaveEffectMeta] != "" {
		e.possible = true
		return true
	}
	return false
}

// shouldGiveUp reports whether the search for a leader has timed out and no attempt can
// have had an effect.
func (e *callEffect) shouldGiveUp() bool {
	return !e.possible && !e.searchDeadline.IsZero() && time.Now().After(e.searchDeadline)
}

// markError marks the error with ErrNoEffect if no attempt can have had an effect.
func (e *callEffect) markError(err error) error {
	if e.possible {
		return err
	}
	return errors.Mark(err, ErrNoEffect)
}

// LeadershipLost returns the error of a control process that lost the leadership during a
// call, which may still take effect. The address of the new leader is empty if not known.
func LeadershipLost(leader string) twirp.Error {
	return NotLeader(leader).WithMeta(mayHaveEffectMeta, "true")
}
