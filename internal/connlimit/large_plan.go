package connlimit

// LargePlan is the number of connections of each kind that a control process may have open in a large deployment, where
// the division follows its role. What the leader needs for its calls to workers, followers use for reports.
type LargePlan struct {
	// Workers bounds the leader's connections to workers, which polls and orders share. Holds and Orders bound the
	// calls in flight.
	Workers, Holds, Orders int
	Advisors               int // of the leader: idle connections to entries that call the policy service
	LeaderReports          int // from operators, and workers that are sent to other processes: kept free of those to workers
	MaxLeaderReports       int // the same, while there are fewer connections to workers
	FollowerReports        int // from workers and operators
	Internal               int // from entries and other control processes
}

// Weights in 64ths of what the limit leaves. A leader has 3,103 connections to workers and 310 to entries with 4,100
// descriptors, and one follower takes the reports of 3,165 workers.
const (
	largeWeightTotal           = 64
	largeWeightWorkers         = 50
	largeWeightOrders          = 4 // of those to workers
	largeWeightAdvisors        = 5
	largeWeightLeaderReports   = 1
	largeWeightMaxLeader       = 8
	largeWeightFollowerReports = 51
	largeWeightInternal        = 8
)

// LargeControlPlan returns the plan of a control process of a large deployment that may have the given number of
// descriptors open.
func LargeControlPlan(descriptors int) LargePlan {
	available := max(descriptors, minDescriptors) - reservedDescriptors
	share := func(weight int) int { return max(1, available*weight/largeWeightTotal) }
	return LargePlan{
		Workers: share(largeWeightWorkers), Holds: share(largeWeightWorkers - largeWeightOrders), Orders: share(largeWeightOrders),
		Advisors: share(largeWeightAdvisors), LeaderReports: share(largeWeightLeaderReports),
		MaxLeaderReports: share(largeWeightMaxLeader),
		FollowerReports:  share(largeWeightFollowerReports), Internal: share(largeWeightInternal),
	}
}

// WorkerLimit returns the leader's limit of connections to workers while it has the given number of report connections
// open. Those that it had as a follower take from the connections to workers until they have moved.
func (p LargePlan) WorkerLimit(openReports int) int {
	return max(1, p.Workers+p.LeaderReports-max(openReports, p.LeaderReports))
}

// ReportLimit returns the limit of report connections while the process has the given number of connections to workers
// open: a leader calls them, and a former one may not have closed them yet. A leader that refused workers instead of
// sending them to other processes would send all of them to the same one, the next in their order.
func (p LargePlan) ReportLimit(leads bool, openWorkers int) int {
	limit := p.FollowerReports - openWorkers
	if leads {
		limit = min(p.MaxLeaderReports, p.Workers+p.LeaderReports-openWorkers)
	}
	return max(p.LeaderReports, limit)
}
