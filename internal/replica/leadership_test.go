package replica_test

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// logBuffer collects the lines of a logger.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// lastLines returns at most so many lines from the end.
func (b *logBuffer) lastLines(number int) string {
	lines := strings.SplitAfter(b.String(), "\n")
	return strings.Join(lines[max(0, len(lines)-number):], "")
}

func TestLogTellsWhyALeadershipEnded(t *testing.T) {
	for _, test := range []struct {
		reason string
		end    func(c *cluster, leader *node) error
	}{
		{"quorum lost", func(c *cluster, leader *node) error {
			for _, n := range c.otherNodes(leader) {
				n.gate.shut()
			}
			return nil
		}},
		{"higher term", func(_ *cluster, leader *node) error {
			return leader.replica.TransferLeadership(context.Background())
		}},
		{"removed from the voters", func(_ *cluster, leader *node) error {
			return leader.replica.RemoveMember(context.Background(), leader.replica.Status().Incarnation)
		}},
	} {
		t.Run(test.reason, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			c := newFormedCluster(t, 3, func(config *replica.Config) {
				config.Logger = slog.New(slog.NewTextHandler(log, nil))
			})
			c.write("before")
			is.NoErr(test.end(c, c.leader()))
			eventually(t, "the reason in the log", func() bool { return strings.Contains(log.String(), test.reason) })
		})
	}
}

// A majority that can't elect a leader said nothing of why.
func TestLogTellsWhyThereIsNoLeader(t *testing.T) {
	log := &logBuffer{}
	c := newFormedCluster(t, 3, func(config *replica.Config) {
		config.Logger = slog.New(slog.NewTextHandler(log, nil))
	})
	c.write("before")
	for _, n := range c.nodes[1:] {
		n.gate.shut()
	}
	eventually(t, "the reason in the log", func() bool {
		text := log.String()
		return strings.Contains(text, `msg="no leader" role=pre-candidate campaigns=0 voters=3 granted=1 refused=0`) &&
			slices.ContainsFunc(strings.Split(text, "\n"), func(line string) bool {
				return strings.Contains(line, `vote=none`) && !strings.Contains(line, `error=""`) &&
					strings.Contains(line, "address="+c.nodes[1].config.Address)
			})
	})
}

// While a replacement is not committed, the votes of those that it removes are needed. The lines did not mention them.
func TestLogTellsOfDepartingVotersWithoutLeader(t *testing.T) {
	is := is.New(t)
	log := &logBuffer{}
	adjust := func(config *replica.Config) { config.Logger = slog.New(slog.NewTextHandler(log, nil)) }
	c := newFormedCluster(t, 5, adjust)
	leader := c.leader()
	var changes []raft.Change
	removed := c.otherNodes(leader)[2:]
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i, lost := range removed {
		learner := newNode(t, 6+i, adjust)
		learner.start()
		is.NoErr(retry(ctx, func() error { return leader.replica.AddLearner(ctx, learner.info()) }))
		changes = append(changes, raft.Change{Kind: raft.RemoveMember, Member: lost.info()},
			raft.Change{Kind: raft.PromoteLearner, Member: learner.info()})
	}
	for _, n := range c.otherNodes(leader)[1:] {
		eventually(t, "learners that have caught up", func() bool {
			status := leader.replica.Status()
			for _, change := range changes {
				if change.Kind == raft.PromoteLearner && status.Progress[change.Member.GetIncarnation()].MatchIndex < status.CommitIndex {
					return false
				}
			}
			return true
		})
		n.gate.shut()
	}
	err := leader.replica.ChangeMembership(ctx, changes...)
	is.True(errors.Is(err, replica.ErrIndeterminate)) // two of the five voters before are left
	eventually(t, "the departing voters in the log", func() bool {
		lines := strings.Split(log.String(), "\n")
		logs := func(parts ...string) bool {
			return slices.ContainsFunc(lines, func(line string) bool {
				return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
			})
		}
		return logs(`msg="no leader"`, "voters=5", "departing=2", "granted_before=") &&
			logs(`msg="no leader: voter" voter=`+removed[0].config.Name, "vote=none", "departing=true") &&
			logs(`msg="no leader: voter" voter=`+removed[1].config.Name, "vote=none", "departing=true")
	})
}
