package claims

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// answerSlack is how many stale items the answer queue may hold before it is
// compacted.
const answerSlack = 1024

// answerItem names a kept answer. It is stale once its record has another
// answer or none.
type answerItem struct {
	key      string
	sequence uint64
}

// answerQueue knows the kept answers, oldest first.
type answerQueue struct {
	items []answerItem
	live  int
	bytes int
	last  uint64 // sequence
}

// add enters a record's new answer.
func (t *Table) addAnswer(r *record, sequence uint64) {
	q := &t.answers
	q.last = max(q.last, sequence)
	r.sequence = sequence
	r.answer = answerSize(r.state.GetAnswer())
	q.items = append(q.items, answerItem{key: r.state.GetKey(), sequence: sequence})
	q.live++
	q.bytes += r.answer
}

// removeAnswer takes a record's answer out of the account.
func (t *Table) removeAnswer(r *record) {
	if r.sequence == 0 {
		return
	}
	t.answers.live--
	t.answers.bytes -= r.answer
	r.answer, r.sequence = 0, 0
}

// dropOldAnswers drops the oldest answers' headers and bodies while their sum
// is above the bound. Keys and outcomes stay. No shard may be locked.
func (t *Table) dropOldAnswers() {
	q := &t.answers
	for q.bytes > t.options.MaxTotalAnswerBytes && len(q.items) > 0 {
		item := q.items[0]
		q.items = q.items[1:]
		t.truncate(item)
	}
	if len(q.items) > 2*q.live+answerSlack {
		t.compactAnswers()
	}
}

// truncate drops one answer, if the item is not stale.
func (t *Table) truncate(item answerItem) {
	s := t.shard(item.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[item.key]
	if !ok || r.sequence != item.sequence {
		return
	}
	t.removeAnswer(r)
	r.state.Answer = truncated(r.state.GetAnswer())
}

func (t *Table) compactAnswers() {
	live := make([]answerItem, 0, t.answers.live)
	for _, item := range t.answers.items {
		r, ok := t.shard(item.key).records[item.key]
		if ok && r.sequence == item.sequence {
			live = append(live, item)
		}
	}
	t.answers.items = live
}

// truncated returns what stays of an answer that is not kept.
func truncated(answer *apiv1.KeptAnswer) *apiv1.KeptAnswer {
	return &apiv1.KeptAnswer{Status: answer.GetStatus(), Truncated: true}
}
