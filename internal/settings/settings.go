package settings

import "time"

// Settings holds one daemon's settings. At least one of Control and Entry is set; the
// daemon runs each role that is set.
type Settings struct {
	Name          string // unique over all daemons
	Region        string
	FailureDomain string
	Rack          string // optional
	DataDir       string // folder of the durable state; only set with Control
	Log           Log
	Control       *Control // nil: no control role
	Entry         *Entry   // nil: no entry role
}

// Log holds the settings of the daemon's log.
type Log struct {
	Format string // "json" or "text"
	Level  string // "debug", "info", "warn" or "error"
}

// Control holds the control role's settings.
type Control struct {
	Listen    string   // IP address and port
	Advertise string   // IP address and port at which other processes reach this one
	Members   []Member // all configured control processes, including this one
	// ReplaceAfter is the time without contact to a voter after which its VM, if it
	// comes back with an empty data folder, may replace it.
	ReplaceAfter time.Duration
	// SpareAfter is the time without contact to a voter after which a spare replaces
	// it, if no process answers under its name.
	SpareAfter time.Duration
	// SnapshotEntries is the number of applied log entries after which a snapshot is
	// taken and the log is compacted.
	SnapshotEntries int
}

// Member is one configured control process.
type Member struct {
	Name          string
	Address       string // IP address and port that it advertises
	FailureDomain string
	DialAddress   string // where this process dials it; empty: at Address
	Spare         bool   // not a voter at first; may replace a lost voter
}

// Entry holds the entry role's settings.
type Entry struct {
	Listen           string            // IP address and port for callers
	AnnounceListen   string            // IP address and port for endpoints and metrics
	Advertise        string            // IP address and port at which callers reach this entry
	ControlAddresses []string          // advertised addresses of the control processes
	DialOverrides    map[string]string // addresses to dial instead, by advertised address
	BalancerDelay    time.Duration     // after /healthz fails, until the balancer sends no more requests
	DrainDelay       time.Duration     // after /healthz fails, until no more requests are accepted
	DrainTimeout     time.Duration     // after which requests still in flight are cut off
	MaxQueueLength   int               // requests waiting for a slot, per service
	DefaultTimeout   time.Duration     // of a request for which neither route nor caller gives one
	MaxBodyBytes     int64             // of one request
}

// Voters returns the members that are voters of a new cluster: all but the spares.
func (c *Control) Voters() []Member {
	var voters []Member
	for _, member := range c.Members {
		if !member.Spare {
			voters = append(voters, member)
		}
	}
	return voters
}
