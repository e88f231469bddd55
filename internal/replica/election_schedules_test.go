package replica

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	electionSchedules = flag.Int("election.schedules", 30, "schedules of each kind of fault")
	electionSeed      = flag.Uint64("election.seed", 0, "seed of the first schedule")
)

const (
	// modelRecovery and modelFailover are the times after a fault within which the log must be writable again, by the
	// users' bounds: in general, and while calls are fast.
	modelRecovery = 12 * time.Second
	modelFailover = 2 * time.Second
	modelLasting  = 20 * time.Second // that a leadership is watched after the commit
	modelSettle   = 3 * time.Second
	modelSlow     = 10 * time.Second // that calls are held before the fault, in some schedules
)

// electionFault is a kind of fault, with delays drawn for each schedule.
type electionFault struct {
	name  string
	bound time.Duration
	lasts bool // a leadership, as the delays stay in a range
	draw  func(random *rand.Rand) modelFaults
}

func uniformDelay(limit time.Duration) func(*rand.Rand) modelFaults {
	return func(*rand.Rand) modelFaults {
		return modelFaults{call: func(m *electionModel, _, _ int) modelCall {
			return modelCall{arrives: time.Duration(m.random.Int64N(int64(limit)))}
		}}
	}
}

const fastCall = 5 * time.Millisecond

var electionFaults = []electionFault{
	{"fast", modelFailover, true, uniformDelay(fastCall)},
	{"each 100ms", modelRecovery, true, equalDelay(100 * time.Millisecond)},
	{"each 200ms", modelRecovery, true, equalDelay(200 * time.Millisecond)},
	{"each 400ms", modelRecovery, true, equalDelay(400 * time.Millisecond)},
	{"each 800ms", modelRecovery, true, equalDelay(800 * time.Millisecond)},
	{"each 400ms, lost disks", modelRecovery, true, lostDisks(equalDelay(400 * time.Millisecond))},
	{"each 800ms, lost disks", modelRecovery, true, lostDisks(equalDelay(800 * time.Millisecond))},
	{"up to 800ms, lost disks", modelRecovery, true, lostDisks(uniformDelay(800 * time.Millisecond))},
	{"up to 400ms", modelRecovery, true, uniformDelay(400 * time.Millisecond)},
	{"up to 800ms", modelRecovery, true, uniformDelay(800 * time.Millisecond)},
	{"one of three 1200ms", modelRecovery, true, func(*rand.Rand) modelFaults {
		return modelFaults{call: func(m *electionModel, _, _ int) modelCall {
			if m.random.IntN(3) == 0 {
				return modelCall{arrives: 1200 * time.Millisecond}
			}
			return modelCall{arrives: 20 * time.Millisecond}
		}}
	}},
	{"responses up to 400ms, requests too", modelRecovery, true, func(*rand.Rand) modelFaults {
		return modelFaults{call: func(m *electionModel, _, _ int) modelCall {
			return modelCall{arrives: m.below(400 * time.Millisecond), answered: m.below(400 * time.Millisecond)}
		}}
	}},
	{"one voter 800ms", modelRecovery, true, func(random *rand.Rand) modelFaults {
		slow := random.IntN(3)
		return modelFaults{call: func(m *electionModel, from, to int) modelCall {
			if m.living(slow) == from || m.living(slow) == to {
				return modelCall{arrives: 800 * time.Millisecond}
			}
			return modelCall{arrives: m.below(fastCall)}
		}}
	}},
	{"one link 800ms", modelRecovery, true, func(random *rand.Rand) modelFaults {
		a, b := random.IntN(3), random.IntN(2)
		if b >= a {
			b++
		}
		return modelFaults{call: func(m *electionModel, from, to int) modelCall {
			if m.living(a) == from && m.living(b) == to || m.living(a) == to && m.living(b) == from {
				return modelCall{arrives: 800 * time.Millisecond}
			}
			return modelCall{arrives: m.below(fastCall)}
		}}
	}},
	{"one direction 800ms", modelRecovery, true, func(random *rand.Rand) modelFaults {
		a := random.IntN(3)
		return modelFaults{call: func(m *electionModel, from, _ int) modelCall {
			if m.living(a) == from {
				return modelCall{arrives: 800 * time.Millisecond}
			}
			return modelCall{arrives: m.below(fastCall)}
		}}
	}},
	{"changing up to 800ms", modelRecovery, false, func(random *rand.Rand) modelFaults {
		offset := random.Uint64()
		return modelFaults{call: func(m *electionModel, _, _ int) modelCall {
			second := rand.New(rand.NewPCG(offset, uint64(m.now.Unix())))
			return modelCall{arrives: m.below(time.Millisecond + time.Duration(second.Int64N(int64(800*time.Millisecond))))}
		}}
	}},
	{"one of ten lost, up to 200ms", modelRecovery, true, func(*rand.Rand) modelFaults {
		return modelFaults{call: func(m *electionModel, _, _ int) modelCall {
			return modelCall{arrives: m.below(200 * time.Millisecond), lost: m.random.IntN(10) == 0}
		}}
	}},
	{"up to 400ms, syncs up to 100ms", modelRecovery, true, func(*rand.Rand) modelFaults {
		return modelFaults{
			call: func(m *electionModel, _, _ int) modelCall { return modelCall{arrives: m.below(400 * time.Millisecond)} },
			sync: func(m *electionModel) time.Duration { return m.below(100 * time.Millisecond) },
		}
	}},
}

func equalDelay(d time.Duration) func(*rand.Rand) modelFaults {
	return func(*rand.Rand) modelFaults {
		return modelFaults{call: func(*electionModel, int, int) modelCall { return modelCall{arrives: d} }}
	}
}

// lostDisks adds processes at the addresses of the lost voters, which refuse messages to these.
func lostDisks(draw func(*rand.Rand) modelFaults) func(*rand.Rand) modelFaults {
	return func(random *rand.Rand) modelFaults {
		faults := draw(random)
		faults.lostRefuse = true
		return faults
	}
}

func (m *electionModel) below(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// living returns the position of the nth voter that is not lost.
func (m *electionModel) living(n int) int {
	for _, v := range m.voters {
		if v.isLost {
			continue
		}
		if n == 0 {
			return v.number
		}
		n--
	}
	return -1
}

// runElectionSchedule loses as many voters of a cluster as it tolerates, the leader among them, and holds calls from then
// on. In one of four schedules the others lose power and start anew, in another calls were held before.
func runElectionSchedule(fault electionFault, seed uint64, trace func(string, ...any)) *electionModel {
	size := 5
	if seed%5 == 4 {
		size = 3
	}
	m := newElectionModel(seed, size, uniformDelay(fastCall)(nil))
	m.trace = trace
	never := func() bool { return false }
	m.runUntil(m.now.Add(modelSettle+m.below(time.Second)), never)
	if seed%4 == 2 {
		m.faults = fault.draw(m.random)
		m.runUntil(m.now.Add(modelSlow), never)
	}
	m.loseMinority()
	m.faults = fault.draw(m.random)
	m.faultAt = m.now
	if seed%4 == 3 {
		for _, v := range m.voters {
			if !v.isLost {
				v.start()
			}
		}
	}
	if m.runUntil(m.faultAt.Add(10*modelRecovery), func() bool { return !m.committedAt.IsZero() }) {
		m.runUntil(m.now.Add(modelLasting), never)
	}
	return m
}

// loseMinority loses as many voters as the cluster tolerates, the leader among them if there is one.
func (m *electionModel) loseMinority() {
	size, lost := len(m.voters), 0
	if leader := m.leader(); leader != nil {
		leader.isLost = true
		lost++
	}
	for lost < size/2 {
		if v := m.voters[m.random.IntN(size)]; !v.isLost {
			v.isLost = true
			lost++
		}
	}
}

// took returns the time from the fault to the commit.
func (m *electionModel) took() time.Duration {
	if m.committedAt.IsZero() {
		return 10 * modelRecovery
	}
	return m.committedAt.Sub(m.faultAt)
}

// runElectionSchedules runs schedules side by side.
func runElectionSchedules(fault electionFault) []*electionModel {
	models := make([]*electionModel, *electionSchedules)
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range models {
		slots <- struct{}{}
		group.Go(func() {
			models[i] = runElectionSchedule(fault, *electionSeed+uint64(i), nil)
			<-slots
		})
	}
	group.Wait()
	return models
}

// Candidates interrupted each other, votes that arrived late were thrown away, and new leaders stepped down before the
// voters' first responses had arrived: with calls held for times of their own, elections took up to a minute.
func TestLeaderIsElectedInTime(t *testing.T) {
	for _, fault := range electionFaults {
		t.Run(fault.name, func(t *testing.T) {
			models := runElectionSchedules(fault)
			traced := false
			report := func(seed uint64, format string, args ...any) {
				t.Errorf("seed %d: "+format, append([]any{seed}, args...)...)
				if !traced {
					traced = true
					runElectionSchedule(fault, seed, t.Logf)
				}
			}
			times := make([]time.Duration, 0, len(models))
			var sum modelCounts
			for i, m := range models {
				times = append(times, m.took())
				sum.add(m.counts)
				seed := *electionSeed + uint64(i)
				if m.took() > fault.bound {
					report(seed, "a command is committed after %s, bound %s", m.took(), fault.bound)
				}
				if fault.lasts && m.counts.afterCommit > 0 {
					report(seed, "%d leaderships end in the %s after that", m.counts.afterCommit, modelLasting)
				}
			}
			slices.Sort(times)
			t.Logf("p50 %.2fs, p99 %.2fs, longest %.2fs of %d; in all %+v",
				times[len(times)/2].Seconds(), times[len(times)*99/100].Seconds(), times[len(times)-1].Seconds(), len(times), sum)
		})
	}
}

// A leader that gets no calls any more, while the others get its own, keeps them from electing another one until it steps
// down. That must not take longer than the users' bound, also shortly after its election.
func TestLeaderThatHearsNobodyIsReplacedInTime(t *testing.T) {
	var times []time.Duration
	for i := range *electionSchedules {
		seed := *electionSeed + uint64(i)
		m := newElectionModel(seed, 3+2*int(seed%2), uniformDelay(fastCall)(nil))
		m.runUntil(m.now.Add(modelSlow), func() bool { return m.leader() != nil })
		m.runUntil(m.now.Add(m.below(modelSlow)), func() bool { return false })
		deaf := m.leader()
		m.faults.call = func(m *electionModel, _, to int) modelCall {
			return modelCall{arrives: m.below(fastCall), lost: to == deaf.number}
		}
		m.faultAt = m.now
		m.runUntil(m.faultAt.Add(modelRecovery), func() bool { return !m.committedAt.IsZero() })
		times = append(times, m.took())
		if m.took() > modelFailover {
			t.Errorf("seed %d: a command is committed after %s, bound %s", seed, m.took(), modelFailover)
		}
	}
	slices.Sort(times)
	t.Logf("p50 %.2fs, p99 %.2fs, longest %.2fs of %d", times[len(times)/2].Seconds(), times[len(times)*99/100].Seconds(),
		times[len(times)-1].Seconds(), len(times))
}
