package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

const (
	urgent = apiv1.Class_CLASS_URGENT
	normal = apiv1.Class_CLASS_NORMAL
	bulk   = apiv1.Class_CLASS_BULK
)

// line describes a waiter: its deadline counts seconds.
type line struct {
	class    apiv1.Class
	caller   string
	deadline int
}

func queued(lines []line) (*queue, map[*waiter]int) {
	q, names := newQueue(), make(map[*waiter]int)
	begin := time.Unix(1_700_000_000, 0)
	for i, l := range lines {
		w := newWaiter(l.class, l.caller, begin.Add(time.Duration(l.deadline)*time.Second), begin)
		names[w] = i
		q.add(w)
	}
	return q, names
}

func TestQueueOrder(t *testing.T) {
	cases := []struct {
		name     string
		lines    []line
		inFlight map[string]int
		want     []int
	}{
		{"class goes before deadline", []line{{bulk, "a", 1}, {urgent, "a", 9}, {normal, "a", 5}}, nil, []int{1, 2, 0}},
		{"earliest deadline within a class", []line{{normal, "a", 3}, {normal, "a", 1}, {normal, "a", 2}}, nil, []int{1, 2, 0}},
		{"a caller with much in flight comes later", []line{{normal, "a", 1}, {normal, "b", 9}}, map[string]int{"a": 3}, []int{1, 0}},
		{"fairness does not cross classes", []line{{urgent, "a", 9}, {normal, "b", 1}}, map[string]int{"a": 3}, []int{0, 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q, names := queued(test.lines)
			var got []int
			for q.size > 0 {
				q.inOrder(test.inFlight, func(w *waiter) bool {
					got = append(got, names[w])
					q.remove(w)
					return false
				})
			}
			is.Equal(got, test.want)
		})
	}
}

func TestQueueShedsTheLeastUrgent(t *testing.T) {
	cases := []struct {
		name  string
		lines []line
		want  int
	}{
		{"least urgent class", []line{{urgent, "a", 1}, {bulk, "b", 1}, {normal, "a", 9}}, 1},
		{"the caller with most waiting", []line{{bulk, "a", 9}, {bulk, "b", 1}, {bulk, "b", 2}}, 2},
		{"latest deadline", []line{{urgent, "a", 5}, {urgent, "a", 7}, {urgent, "a", 6}}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q, names := queued(test.lines)
			is.Equal(names[q.leastUrgent()], test.want)
		})
	}
}

func oneSlot(limits Limits) *service {
	pool := balance.NewPool(&apiv1.Location{Region: "sur", FailureDomain: "d"}, balance.SlotShares{}, nil, 1)
	s := newService("dispatch", pool, limits.withDefaults())
	s.update([]*apiv1.Endpoint{{Id: "e", Address: "127.0.0.1:1", Slots: 1, Connections: 8}},
		map[string]*apiv1.SlotHold{"e": {Endpoint: "e", Slots: 1, Connections: 8}})
	return s
}

func TestServiceRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	is := is.New(t)
	s := oneSlot(Limits{})
	ctx := context.Background()
	now := time.Now()
	for range minServiceTimeSamples {
		w := newWaiter(normal, "a", now.Add(time.Minute), now)
		slot, refusal := s.acquire(ctx, w)
		is.True(refusal == nil)
		s.release(w, slot, 10*time.Second, balance.Result{Latency: 10 * time.Second})
	}
	busy := newWaiter(normal, "a", now.Add(time.Minute), now)
	_, refusal := s.acquire(ctx, busy)
	is.True(refusal == nil)
	_, refusal = s.acquire(ctx, newWaiter(normal, "b", now.Add(5*time.Second), now))
	is.Equal(refusal.code, codeDeadlineUnreachable)
	is.Equal(refusal.outcome, apiv1.Outcome_OUTCOME_NOT_RUN)
}

func TestServiceShedsForUrgentRequests(t *testing.T) {
	is := is.New(t)
	s := oneSlot(Limits{MaxQueue: 1})
	ctx := context.Background()
	now := time.Now()
	held := newWaiter(normal, "a", now.Add(time.Minute), now)
	slot, refusal := s.acquire(ctx, held)
	is.True(refusal == nil)
	shed := make(chan *problem, 1)
	go func() {
		_, refusal := s.acquire(ctx, newWaiter(bulk, "b", now.Add(time.Minute), now))
		shed <- refusal
	}()
	for s.demand().GetWaiting() == 0 {
		time.Sleep(time.Millisecond) // poll
	}
	served := make(chan *problem, 1)
	go func() {
		_, refusal := s.acquire(ctx, newWaiter(urgent, "c", now.Add(time.Minute), now))
		served <- refusal
	}()
	is.Equal((<-shed).code, codeQueueFull)
	s.release(held, slot, time.Millisecond, balance.Result{})
	is.True(<-served == nil)
}
