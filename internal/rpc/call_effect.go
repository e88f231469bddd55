package rpc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// ErrNoEffect marks the failure of a call that certainly had no effect: no
// process got it, or those that did refused it.
var ErrNoEffect = errors.New("the call had no effect")

// errNothingSent marks an attempt that had no connection.
var errNothingSent = errors.New("nothing was sent")

// unclearMeta marks a refusal whose call may still take effect.
const unclearMeta = "unclear"

type patienceKey struct{}

// WithLeaderSearchTimeout bounds how long a call looks for a leader. Once an attempt may
// have had an effect, only the context's deadline ends the call.
func WithLeaderSearchTimeout(ctx context.Context, patience time.Duration) context.Context {
	return context.WithValue(ctx, patienceKey{}, patience)
}

// fate is what is known of a call's effect while its attempts fail.
type fate struct {
	unclear bool
	until   time.Time // give up then if nothing is unclear; zero: never
}

func newFate(ctx context.Context) *fate {
	f := &fate{}
	if patience, ok := ctx.Value(patienceKey{}).(time.Duration); ok {
		f.until = time.Now().Add(patience)
	}
	return f
}

// failed takes in an attempt without an answer. Only one that had no
// connection is certain to have had no effect.
func (f *fate) failed(err error) {
	if !errors.Is(err, errNothingSent) {
		f.unclear = true
	}
}

// refused takes in the answer of a process that does not lead.
func (f *fate) refused(result answer) {
	var refusal struct {
		Meta map[string]string `json:"meta"`
	}
	if err := json.Unmarshal(result.body, &refusal); err != nil || refusal.Meta[unclearMeta] != "" {
		f.unclear = true
	}
}

func (f *fate) giveUp() bool {
	return !f.unclear && !f.until.IsZero() && time.Now().After(f.until)
}

func (f *fate) mark(err error) error {
	if f.unclear {
		return err
	}
	return errors.Mark(err, ErrNoEffect)
}

// LeadershipLost returns the error of a control process that lost the leadership while
// it worked on a call.
func LeadershipLost(leader string) twirp.Error {
	return NotLeader(leader).WithMeta(unclearMeta, "true")
}
