package claims

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// staleAnswerSlack is how many items the answer queue may hold beyond twice its
// live ones before it is compacted.
const staleAnswerSlack = 1024

// answerItem refers to a kept answer. It is stale once its record has another
// answer or none.
type answerItem struct {
	key      string
	sequence uint64
}

// answerQueue lists the kept answers, oldest first, and totals their size.
type answerQueue struct {
	items          []answerItem
	live           int    // number of items that are not stale
	bytes          int    // total size of the kept answers
	newestSequence uint64 // highest sequence of an answer so far
}

// addAnswer appends a record's new answer to the queue.
func (t *Table) addAnswer(r *record, sequence uint64) {
	q := &t.answers
	q.newestSequence = max(q.newestSequence, sequence)
	r.answerSequence = sequence
	r.answerBytes = answerSize(r.state.GetAnswer())
	q.items = append(q.items, answerItem{key: r.state.GetKey(), sequence: sequence})
	q.live++
	q.bytes += r.answerBytes
}

// removeAnswer subtracts a record's answer from the totals. Its item stays in the
// queue as a stale one.
func (t *Table) removeAnswer(r *record) {
	if r.answerSequence == 0 {
		return
	}
	t.answers.live--
	t.answers.bytes -= r.answerBytes
	r.answerBytes, r.answerSequence = 0, 0
}

// dropOldAnswers drops the headers and bodies of the oldest answers while their
// total size exceeds Options.MaxTotalAnswerBytes. Keys and outcomes stay. The
// caller must not hold a shard lock.
func (t *Table) dropOldAnswers() {
	q := &t.answers
	for q.bytes > t.options.MaxTotalAnswerBytes && len(q.items) > 0 {
		item := q.items[0]
		q.items = q.items[1:]
		t.truncateAnswer(item)
	}
	if len(q.items) > 2*q.live+staleAnswerSlack {
		t.compactAnswers()
	}
}

// truncateAnswer drops one answer, if the item is not stale.
func (t *Table) truncateAnswer(item answerItem) {
	s := t.shard(item.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[item.key]
	if !ok || r.answerSequence != item.sequence {
		return
	}
	t.removeAnswer(r)
	r.state.Answer = truncated(r.state.GetAnswer())
}

// compactAnswers removes the stale items from the queue.
func (t *Table) compactAnswers() {
	live := make([]answerItem, 0, t.answers.live)
	for _, item := range t.answers.items {
		r, ok := t.shard(item.key).records[item.key]
		if ok && r.answerSequence == item.sequence {
			live = append(live, item)
		}
	}
	t.answers.items = live
}

// truncated returns the part of an answer that stays when its header and body are
// dropped.
func truncated(answer *apiv1.KeptAnswer) *apiv1.KeptAnswer {
	return &apiv1.KeptAnswer{Status: answer.GetStatus(), Truncated: true}
}
