package rpc

import (
	"github.com/twitchtv/twirp"
)

// leaderMeta names the present leader's address in a refusal.
const leaderMeta = "leader"

// NotLeader returns the error of a control process that does not lead. The
// leader's address is empty if none is known.
func NotLeader(leader string) twirp.Error {
	return twirp.NewError(twirp.Unavailable, "this control process does not lead").
		WithMeta(leaderMeta, leader)
}
