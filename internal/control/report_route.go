package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	// reportInterval is the time between two reports of a worker, set by the platform.
	reportInterval = 1500 * time.Millisecond
	// shedIntervals is the number of report intervals over which a new leader sends the workers that report to it to
	// other processes.
	shedIntervals = 4
	// maxReportMemberSilence is how long a member may be silent to be named for reports. It is many heartbeats.
	maxReportMemberSilence = time.Second
	// rerouteInterval is the time after which a worker that reports to the leader again is sent to another member: the
	// worker may not reach the one that was named before.
	rerouteInterval = 8 * reportInterval
)

// ReportRoute returns the internal address of the control process to which the worker has to send its later reports,
// empty for this one. The leader of a large deployment names one of the other members: it needs its descriptors for its
// calls to workers.
func (s *Server) ReportRoute(worker string) string {
	l := s.leadership.Load()
	if l == nil || !s.IsLarge() {
		return ""
	}
	return RouteReport(worker, time.Since(l.began), reportMembers(s.Log.Status()))
}

// RouteReport returns the one of the addresses to which a worker that reports to the leader has to send its later
// reports, at the given time after the election. It is empty for the leader itself.
func RouteReport(worker string, sinceElection time.Duration, addresses []string) string {
	if !isShed(worker, sinceElection) {
		return ""
	}
	return reportMember(worker, int(sinceElection/rerouteInterval), addresses)
}

// BoundsReports reports whether reports beyond those that can be handled in time are refused.
func (s *Server) BoundsReports() bool { return s.IsLarge() }

// isShed reports whether a worker's reports are sent to other processes at the given time after the election. Each
// interval takes an equal share of the workers, so that the followers don't get all at once.
func isShed(worker string, sinceElection time.Duration) bool {
	return time.Duration(hashOf(worker)%shedIntervals)*reportInterval <= sinceElection
}

// reportMembers returns the addresses of the other members that have answered this leader lately, and so take
// reports.
func reportMembers(status replica.Status) []string {
	var addresses []string
	for _, members := range [][]*apiv1.MemberInfo{status.Membership.GetVoters(), status.Membership.GetLearners()} {
		for _, member := range members {
			progress, ok := status.Progress[member.GetIncarnation()]
			if ok && member.GetIncarnation() != status.Incarnation && progress.SinceContact < maxReportMemberSilence {
				addresses = append(addresses, member.GetAddress())
			}
		}
	}
	return addresses
}

// reportMember returns the address to which a worker reports, empty if there is none. In each round every address gets
// an equal share of the workers, and the loss of one moves only its own.
func reportMember(worker string, round int, addresses []string) string {
	best, highest := "", uint64(0)
	for _, address := range addresses {
		if weight := hashOf(worker, strconv.Itoa(round), address); best == "" || weight > highest {
			best, highest = address, weight
		}
	}
	return best
}

// hashOf returns a hash of the texts.
func hashOf(texts ...string) uint64 {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
