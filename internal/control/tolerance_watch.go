package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/control/tolerance"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	toleranceInterval = 200 * time.Millisecond // between two assessments
	maxVoterSilence   = 2 * time.Second        // after which a voter counts as missing, whenever it is replaced
	toleranceUnknown  = -1                     // value of the gauges where it is not known
)

// toleranceGauges hold how many losses of disks the cluster tolerates. On a process that doesn't lead they hold
// toleranceUnknown.
type toleranceGauges struct {
	tolerated, target, reducedMs metrics.Gauge
}

func newToleranceGauges(registry metrics.Registry) *toleranceGauges {
	g := &toleranceGauges{
		tolerated: metrics.GetOrRegisterGauge("control.tolerated_losses", registry),
		target:    metrics.GetOrRegisterGauge("control.tolerated_losses.target", registry),
		reducedMs: metrics.GetOrRegisterGauge("control.tolerated_losses.reduced_ms", registry),
	}
	g.clear()
	return g
}

func (g *toleranceGauges) clear() {
	g.tolerated.Update(toleranceUnknown)
	g.target.Update(toleranceUnknown)
	g.reducedMs.Update(toleranceUnknown)
}

// toleranceWatch assesses for one leadership how many losses of disks the cluster tolerates. It only reads the status of
// the log, so that it goes on while a repair waits.
type toleranceWatch struct {
	server      *Server
	term        uint64
	policy      tolerance.Policy
	tracker     tolerance.Tracker
	probes      identityProbes
	replaced    map[uint64]bool      // silent voters whose processes answer as other incarnations
	behindSince map[uint64]time.Time // members whose logs lack more entries than the policy allows
	learners    learnerWaits
}

func newToleranceWatch(server *Server, term uint64) *toleranceWatch {
	return &toleranceWatch{
		server: server, term: term,
		policy: tolerance.Policy{
			TargetVoters: server.RepairPolicy.TargetVoters,
			SilentAfter:  min(server.RepairPolicy.UnreachableAfter, maxVoterSilence),
			MaxBehind:    maxLearnerLag,
		},
	}
}

// watchTolerance logs and publishes how many losses are tolerated, until ctx ends.
func (l *leadership) watchTolerance(ctx context.Context) error {
	watch := newToleranceWatch(l.server, l.term)
	defer watch.end()
	ticker := time.NewTicker(toleranceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := l.server.Log.Status()
		if !status.IsLeader || status.Term != l.term {
			continue
		}
		watch.identifySilentVoters(ctx, status)
		watch.observe(time.Now(), status)
	}
}

// observe records the status as read at now.
func (w *toleranceWatch) observe(now time.Time, status replica.Status) {
	w.recordLag(now, status)
	if w.tracker.Update(now, w.assess(now, status)) {
		w.log(now, status)
	}
	w.learners.observe(now, status, w.server.Logger)
	current, known := w.tracker.Current()
	if !known {
		return
	}
	w.server.tolerance.Store(&current)
	w.server.toleranceGauges.tolerated.Update(int64(current.Tolerated))
	w.server.toleranceGauges.target.Update(int64(current.Target))
	w.server.toleranceGauges.reducedMs.Update(w.tracker.ReducedFor(now).Milliseconds())
}

func (w *toleranceWatch) end() {
	w.server.tolerance.Store(nil)
	w.server.toleranceGauges.clear()
}

// recordLag records since when members have been behind.
func (w *toleranceWatch) recordLag(now time.Time, status replica.Status) {
	since := make(map[uint64]time.Time)
	for id, progress := range status.Progress {
		if entriesBehind(status, progress) <= w.policy.MaxBehind {
			continue
		}
		since[id] = now
		if earlier, ok := w.behindSince[id]; ok {
			since[id] = earlier
		}
	}
	w.behindSince = since
}

// assess returns the assessment of the voters, or of those before them if their majority is needed as well and in more danger.
func (w *toleranceWatch) assess(now time.Time, status replica.Status) tolerance.Assessment {
	assessment := tolerance.Assess(w.members(now, status, status.Membership.GetVoters()), w.policy)
	if status.Previous != nil {
		previous := tolerance.Assess(w.members(now, status, status.Previous.GetVoters()), w.policy)
		undecided := assessment.Undecided || previous.Undecided
		if previous.Margin() < assessment.Margin() {
			assessment = previous
		}
		assessment.Undecided = undecided
	}
	return assessment
}

func (w *toleranceWatch) members(now time.Time, status replica.Status, infos []*apiv1.MemberInfo) []tolerance.Member {
	var voters []tolerance.Member
	for _, info := range infos {
		id := info.GetIncarnation()
		voter := tolerance.Member{Name: info.GetName(), Incarnation: id, Replaced: w.replaced[id]}
		if id != status.Incarnation {
			progress := status.Progress[id]
			voter.SinceContact, voter.Unheard = progress.SinceContact, progress.MatchIndex == 0
			voter.Behind = entriesBehind(status, progress)
		}
		if since, ok := w.behindSince[id]; ok {
			voter.BehindFor = now.Sub(since)
		}
		voters = append(voters, voter)
	}
	return voters
}

// entriesBehind returns how many committed entries a member lacks; 0 if the leader has not heard from it.
func entriesBehind(status replica.Status, progress replica.Progress) uint64 {
	if progress.MatchIndex == 0 || progress.MatchIndex >= status.CommitIndex {
		return 0
	}
	return status.CommitIndex - progress.MatchIndex
}

// identifySilentVoters finds out which of the silent voters have lost their disks.
func (w *toleranceWatch) identifySilentVoters(ctx context.Context, status replica.Status) {
	var silent []*apiv1.MemberInfo
	var peers []repair.Peer
	for _, voter := range status.Membership.GetVoters() {
		id := voter.GetIncarnation()
		if status.Progress[id].SinceContact < w.policy.SilentAfter {
			delete(w.replaced, id)
		} else if !w.replaced[id] {
			silent = append(silent, voter)
			peers = append(peers, repair.Peer{Name: voter.GetName(), Address: voter.GetAddress()})
		}
	}
	if len(peers) == 0 {
		return
	}
	w.probes.identify(ctx, w.server.peers, peers)
	for i, voter := range silent {
		identity := peers[i].Identity
		if identity != nil && identity.GetName() == voter.GetName() && identity.GetIncarnation() != voter.GetIncarnation() {
			w.markReplaced(voter.GetIncarnation())
		}
	}
}

func (w *toleranceWatch) markReplaced(incarnation uint64) {
	if w.replaced == nil {
		w.replaced = make(map[uint64]bool)
	}
	w.replaced[incarnation] = true
}

// log logs the current assessment. What decides comes first, as collectors may cut lines.
func (w *toleranceWatch) log(now time.Time, status replica.Status) {
	current, _ := w.tracker.Current()
	var names, reasons []string
	for _, missing := range current.Missing {
		names = append(names, missing.Name)
		reasons = append(reasons, missing.String())
	}
	if !current.IsReduced() {
		w.server.Logger.Info("tolerance full", "tolerated", current.Tolerated, "target", current.Target, "voters", current.Voters,
			"live", current.Live, "missing", strings.Join(names, " "), "why", strings.Join(reasons, ", "),
			"learners", learnersText(status), "term", w.term)
		return
	}
	w.server.Logger.Warn("tolerance reduced", "tolerated", current.Tolerated, "target", current.Target, "voters", current.Voters,
		"live", current.Live, "missing", strings.Join(names, " "), "why", strings.Join(reasons, ", "),
		"learners", learnersText(status), "since_ms", w.tracker.ReducedFor(now).Milliseconds(), "term", w.term, "commit", status.CommitIndex)
}

// learnersText lists the learners and how many entries they are behind.
func learnersText(status replica.Status) string {
	var texts []string
	for _, learner := range status.Membership.GetLearners() {
		progress := status.Progress[learner.GetIncarnation()]
		text := fmt.Sprintf("%s %d behind", learner.GetName(), entriesBehind(status, progress))
		if progress.MatchIndex == 0 {
			text = learner.GetName() + " not begun"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}
