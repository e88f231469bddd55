package replica

import (
	"syscall"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// modelSender delivers messages as sender does: in order as long as calls are answered within modelCallTimeout, and beside
// a call that takes longer.
type modelSender struct {
	from    *modelVoter
	to      *modelVoter
	times   *callTimes
	queue   []*apiv1.RaftMessage
	waiting *openCall // the call that may not be overtaken yet; nil: none
}

func (s *modelSender) send(message *apiv1.RaftMessage) {
	if len(s.queue) < sendQueueLength {
		s.queue = append(s.queue, message)
	}
	s.sendBatch()
}

func (s *modelSender) sendBatch() {
	if s.waiting != nil || len(s.queue) == 0 {
		return
	}
	m := s.from.model
	batch := s.queue
	s.queue = nil
	call := s.times.begin(m.now, 0, nil)
	s.waiting = call
	m.after(modelCallTimeout, func() { s.release(call) })
	if s.to.isLost && m.faults.lostRefuse {
		m.after(m.below(fastCall), func() { s.end(call, syscall.ECONNREFUSED) })
		return
	}
	fate := m.faults.call(m, s.from.number, s.to.number)
	took := fate.arrives + fate.answered
	life := s.from.life
	if !fate.lost && fate.arrives < longestCall*modelCallTimeout {
		m.after(fate.arrives, func() {
			if !s.to.isLost && s.from.life == life {
				s.to.receive(batch)
			}
		})
	}
	if fate.lost || took >= longestCall*modelCallTimeout || s.to.isLost {
		m.after(longestCall*modelCallTimeout, func() { s.end(call, errModelCall) })
		return
	}
	m.after(took, func() {
		if !s.to.isLost {
			s.end(call, nil)
		}
	})
}

func (s *modelSender) end(call *openCall, err error) {
	s.times.end(s.from.model.now, call, err)
	s.release(call)
}

// release lets the next call begin unless that has happened before.
func (s *modelSender) release(call *openCall) {
	if s.waiting == call {
		s.waiting = nil
		s.sendBatch()
	}
}
