package connlimit

// Plan is the number of connections of each kind that a process may have open. The sum
// leaves reservedDescriptors for everything else.
type Plan struct {
	// Holds and Orders bound the calls to workers in flight, and IdleWorkers the idle
	// connections to them.
	Holds, Orders, IdleWorkers int
	Advisors                   int // idle connections to entries that call the policy service
	Reports                    int // from workers and operators
	Internal                   int // from entries and other control processes
	Members                    int // of Internal: kept for the members of the replicated log
	Callers                    int // from callers
	Policy                     int // to the policy service
	Probes                     int // from the platform's readiness probes
}

// reservedDescriptors is kept back for listening sockets, the connections that this
// process opens to the other control processes, the log's files and the runtime.
const reservedDescriptors = 128

// Weights of the kinds, in sixteenths of what the limit leaves. A leader holds one long
// poll to each worker and keeps as many idle connections for starts and stops: with fewer, the one that is
// needed next is always the one that was closed last. The workers' reports come in over
// one connection each, spread over three control processes or more.
const (
	weightTotal       = 16
	weightHolds       = 5
	weightIdleWorkers = 5
	weightOrders      = 1
	weightReports     = 2
	weightInternal    = 2
	weightAdvisors    = 1

	weightCallers       = 12
	weightEntryInternal = 2
	weightPolicy        = 1
	weightProbes        = 1
)

// A member needs one or two connections to each other one, and more while calls are slow.
const (
	membersDivisor = 8 // of Internal
	minMembers     = 4
)

// minDescriptors is the smallest limit that a plan is made for.
const minDescriptors = 2 * reservedDescriptors

// ControlPlan returns the plan of a control process that may have the given number of
// descriptors open.
func ControlPlan(descriptors int) Plan {
	share := shares(descriptors)
	internal := share(weightInternal)
	return Plan{
		Holds: share(weightHolds), Orders: share(weightOrders), IdleWorkers: share(weightIdleWorkers),
		Advisors: share(weightAdvisors), Reports: share(weightReports), Internal: internal,
		Members: max(minMembers, internal/membersDivisor),
	}
}

// EntryPlan returns the plan of an entry that may have the given number of descriptors
// open.
func EntryPlan(descriptors int) Plan {
	share := shares(descriptors)
	return Plan{Callers: share(weightCallers), Internal: share(weightEntryInternal), Policy: share(weightPolicy), Probes: share(weightProbes)}
}

// shares returns a function from a weight to its part of the descriptors.
func shares(descriptors int) func(weight int) int {
	available := max(descriptors, minDescriptors) - reservedDescriptors
	return func(weight int) int { return max(1, available*weight/weightTotal) }
}
