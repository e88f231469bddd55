package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Resign ends a leadership at once, without waiting for a successor to catch up. It
// returns messages to send that ask the most up-to-date voter to campaign. The messages
// rely on nothing that is not on disk, so a member whose disk has failed may send them.
// It has no effect on a member that is not the leader.
func (c *Core) Resign() []*apiv1.RaftMessage {
	if c.role != Leader {
		return nil
	}
	var messages []*apiv1.RaftMessage
	if successor := c.mostUpToDateVoter(); successor != 0 {
		messages = append(messages, c.fillHeader(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_TIMEOUT_NOW, To: successor}))
	}
	c.becomeFollower(c.term, 0)
	return messages
}
