package replica

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/storage"
)

// Config configures a Replica. Zero values mean defaults, except that
// DataDir, Address and StateMachine must be set.
type Config struct {
	DataDir       string
	Name          string
	Address       string // host:port at which the other members reach PeerHandler
	FailureDomain string
	StateMachine  StateMachine

	Logger     *slog.Logger
	Metrics    metrics.Registry
	FileSystem storage.FileSystem
	// DurableEnd is that of this process's previous replica of the data folder, which
	// failed; nil if there was none.
	DurableEnd *storage.Position

	TickInterval      time.Duration
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest election timeout; the longest is twice as long
	CallTimeout       time.Duration // after which newer messages overtake a call to another member; time to transfer its content is added
	Seed              uint64        // of the randomized election timeouts

	SnapshotEntries uint64 // number of applied entries after which a snapshot is taken
	SnapshotBytes   int64  // total size of applied entries after which a snapshot is taken
	TrailingEntries uint64 // entries before a snapshot that are kept in memory for slow followers
	SegmentBytes    int64  // size of a log file

	// WrapTransport, if set, wraps the HTTP transport of calls to other members.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// Defaults of Config.
const (
	defaultTickInterval      = 20 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	// A heartbeat interval plus a call that is overtaken on a dead connection must
	// take less than the shortest election timeout.
	defaultCallTimeout     = 250 * time.Millisecond
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 16 << 20
	defaultTrailingEntries = 5_000
)

// Limits of one member.
const (
	maxPendingProposals = 8_192            // concurrent calls of Propose
	maxCommandBytes     = 4 << 20          // size of an encoded command
	maxAppendBytes      = 512 << 10        // total size of the entries in one append message
	maxInflight         = 64               // unacknowledged append messages per follower
	maxLearnerLag       = 1_000            // entries that a learner may be behind when it is promoted
	snapshotTimeout     = 30 * time.Second // after which an unacknowledged snapshot is sent again
	transferTimeout     = time.Second      // of a leadership transfer
)

func (c Config) withDefaults() Config {
	setDefault(&c.TickInterval, defaultTickInterval)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&c.TrailingEntries, defaultTrailingEntries)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (c Config) validate() error {
	var problems error
	if c.DataDir == "" {
		problems = errors.CombineErrors(problems, errors.New("the replica's data folder is not set"))
	}
	if c.Address == "" {
		problems = errors.CombineErrors(problems, errors.New("the replica's address is not set"))
	}
	if c.StateMachine == nil {
		problems = errors.CombineErrors(problems, errors.New("the replica's state machine is not set"))
	}
	if c.HeartbeatInterval < c.TickInterval || c.ElectionTimeout < 2*c.HeartbeatInterval {
		problems = errors.CombineErrors(problems, errors.Newf(
			"the tick interval %s, heartbeat interval %s and election timeout %s are inconsistent: the heartbeat interval must be at least the tick interval and at most half the election timeout",
			c.TickInterval, c.HeartbeatInterval, c.ElectionTimeout))
	}
	return problems
}
