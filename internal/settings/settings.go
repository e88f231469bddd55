package settings

import "time"

// Settings is the content of one daemon's settings file. At least one of
// Control and Entry is set; the daemon runs each role that is.
type Settings struct {
	Name          string // unique over all daemons
	Region        string
	FailureDomain string
	Rack          string // optional
	DataDir       string // folder of the durable state; control role only
	Log           Log
	Control       *Control // nil: not a control process
	Entry         *Entry   // nil: not an entry
}

// Log says how the daemon writes its log.
type Log struct {
	Format string // "json" or "text"
	Level  string // "debug", "info", "warn" or "error"
}

// Control holds the control role's settings.
type Control struct {
	Listen    string   // IP address and port
	Advertise string   // where the other processes reach this one
	Members   []Member // every configured control process, this one included
	// ReplaceAfter is how long a voter must be silent before its VM, back with
	// an empty folder, takes its place.
	ReplaceAfter time.Duration
	// SpareAfter is how long a voter must be silent, with nothing answering for
	// it, before a spare takes its place.
	SpareAfter time.Duration
	// SnapshotEntries is the number of applied log entries after which a
	// snapshot is taken and the log before it is dropped.
	SnapshotEntries int
}

// Member is one configured control process.
type Member struct {
	Name          string
	Address       string // as it advertises itself
	FailureDomain string
	DialAddress   string // where this process reaches it, if not at Address
	Spare         bool   // no voter at first; takes the place of a lost one
}

// Entry holds the entry role's settings.
type Entry struct {
	Listen           string            // IP address and port for callers
	AnnounceListen   string            // IP address and port for endpoints and metrics
	Advertise        string            // where callers reach this entry
	ControlAddresses []string          // addresses of the control processes
	DialOverrides    map[string]string // where to dial one of them instead, by its address
	BalancerDelay    time.Duration     // the balancer sends no more this long after /healthz fails
	DrainDelay       time.Duration     // keeps accepting this long after /healthz fails
	DrainTimeout     time.Duration     // cuts off what is still in flight after this
	MaxQueueLength   int               // waiting requests per service
	DefaultTimeout   time.Duration     // of a request whose route and caller name none
	MaxBodyBytes     int64             // bytes of one request's body
}

// Voters returns the members that form a new cluster.
func (c *Control) Voters() []Member {
	var voters []Member
	for _, member := range c.Members {
		if !member.Spare {
			voters = append(voters, member)
		}
	}
	return voters
}
