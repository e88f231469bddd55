package rpc

import (
	"github.com/twitchtv/twirp"
)

// leaderMeta is the metadata key of the current leader's address in a refusal.
const leaderMeta = "leader"

// NotLeader returns the error of a control process that is not the leader. The leader's
// address is empty if not known.
func NotLeader(leader string) twirp.Error {
	return twirp.NewError(twirp.Unavailable, "this control process does not lead").
		WithMeta(leaderMeta, leader)
}

// Refusal returns the error of a control process that can't serve any call for the
// reason. Clients treat it like NotLeader.
func Refusal(reason string) twirp.Error {
	return twirp.NewError(twirp.Unavailable, reason).WithMeta(leaderMeta, "")
}
