package tolerance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testStep = 200 * time.Millisecond // between two assessments

// trackerRun feeds a tracker with assessments at a fixed interval of a clock of its own.
type trackerRun struct {
	tracker Tracker
	now     time.Time
	reports []Assessment
}

func newTrackerRun() *trackerRun { return &trackerRun{now: time.Unix(1_700_000_000, 0)} }

// feed feeds the voters for the given time and returns how many reports came of it.
func (r *trackerRun) feed(length time.Duration, voters []Member) int {
	before := len(r.reports)
	for range length / testStep {
		r.now = r.now.Add(testStep)
		if r.tracker.Update(r.now, Assess(voters, testPolicy(5))) {
			current, _ := r.tracker.Current()
			r.reports = append(r.reports, current)
		}
	}
	return len(r.reports) - before
}

func (r *trackerRun) last() Assessment { return r.reports[len(r.reports)-1] }

func TestCalmIsReportedOnce(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	is.Equal(r.feed(time.Hour, liveVoters(5)), 1)
	is.True(!r.last().IsReduced())
	is.Equal(r.tracker.ReducedFor(r.now), time.Duration(0))
}

func TestFallIsReportedAtOnceAndRepeated(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	r.feed(time.Minute, liveVoters(5))
	oneSilent := with(liveVoters(5), 1, silent)
	is.Equal(r.feed(testStep, oneSilent), 1)
	is.Equal(r.last().Tolerated, 1)
	is.Equal(r.feed(repeatInterval-testStep, oneSilent), 0)
	is.Equal(r.feed(2*repeatInterval, oneSilent), 2)
	is.Equal(r.tracker.ReducedFor(r.now), 3*repeatInterval-testStep)
	twoSilent := with(liveVoters(5), 2, silent)
	is.Equal(r.feed(testStep, twoSilent), 1)
	is.Equal(r.last().Tolerated, 0)
}

func TestRiseIsReportedOnceItHasHeld(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	r.feed(testStep, with(liveVoters(5), 1, silent))
	is.Equal(r.feed(riseHold, liveVoters(5)), 0)
	is.True(r.tracker.ReducedFor(r.now) > 0)
	is.Equal(r.feed(testStep, liveVoters(5)), 1)
	is.Equal(r.last().Tolerated, 2)
	is.Equal(r.tracker.ReducedFor(r.now), time.Duration(0))
}

func TestVoterThatComesAndGoesIsReportedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	r.feed(testStep, liveVoters(5))
	const rounds = 150 // a minute in all
	reports := 0
	for range rounds {
		reports += r.feed(testStep, with(liveVoters(5), 1, silent))
		reports += r.feed(testStep, liveVoters(5))
	}
	is.True(reports <= 1+int(rounds*2*testStep/repeatInterval))
	is.True(reports >= 1)
	is.True(r.last().IsReduced())
}

func TestOtherMissingVoterIsReported(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	r.feed(2*time.Second, with(liveVoters(5), 1, silent))
	is.Equal(r.feed(testStep, with(liveVoters(5), 1, diskLost)), 1)
	is.Equal(r.feed(testStep, with(liveVoters(5), 1, silent)), 0) // too soon
	is.Equal(r.last().Missing[0].Reason, Replaced)
}

// A replacement in steps: a successor is promoted and the lost voter is removed.
func TestReplacementIsFollowedStepByStep(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	r.feed(testStep, liveVoters(5))
	r.feed(2*time.Second, with(liveVoters(5), 1, diskLost))
	is.Equal(r.feed(2*time.Second, liveVoters(4)), 1)
	is.Equal(r.last().Tolerated, 1)
	is.Equal(r.feed(2*time.Second, liveVoters(5)), 1)
	is.Equal(r.last().Tolerated, 2)
	is.Equal(len(r.reports), 4)
}

func TestNothingIsReportedBeforeAllVotersAreHeardOrSilent(t *testing.T) {
	is := is.New(t)
	r := newTrackerRun()
	is.Equal(r.feed(2*time.Second, with(liveVoters(5), 2, unheard)), 0)
	_, known := r.tracker.Current()
	is.True(!known)
	is.Equal(r.feed(testStep, with(liveVoters(5), 2, silent)), 1)
	is.Equal(r.last().Tolerated, 0)
}
