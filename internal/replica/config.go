package replica

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/storage"
)

// Config sets a Replica up. Zero values mean the defaults, but for DataDir,
// Address and Machine.
type Config struct {
	DataDir       string
	Name          string
	Address       string // host:port at which the other members reach PeerHandler
	FailureDomain string
	StateMachine  StateMachine

	Logger     *slog.Logger
	Metrics    metrics.Registry
	FileSystem storage.FileSystem

	TickInterval      time.Duration
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest; the longest is twice as long
	CallTimeout       time.Duration // of one call to another member, besides its size
	Seed              uint64        // of the election timeouts

	SnapshotEntries uint64 // applied entries after which a snapshot is taken
	SnapshotBytes   int64  // of applied entries after which a snapshot is taken
	TrailingEntries uint64 // kept in memory behind a snapshot for slow followers
	SegmentBytes    int64  // of one file of the log

	// WrapTransport, if set, wraps the transport of the calls to other members.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// Defaults of Config.
const (
	defaultTickInterval      = 20 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	// A heartbeat interval and a call on a silent connection must end before the
	// shortest election timeout.
	defaultCallTimeout     = 250 * time.Millisecond
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 16 << 20
	defaultTrailingEntries = 5_000
)

// Limits of one member.
const (
	maxOutstanding   = 8_192     // proposals not yet applied
	maxCommandBytes  = 4 << 20   // of one command
	maxAppendBytes   = 512 << 10 // of the entries in one append message
	maxInflight      = 64        // unacknowledged append messages a follower
	maxLearnerLag    = 1_000     // entries
	snapshotDeadline = 30 * time.Second
	handoverTimeout  = time.Second
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

func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

func (c Config) check() error {
	var found error
	if c.DataDir == "" {
		found = errors.CombineErrors(found, errors.New("the replica's data folder is not set"))
	}
	if c.Address == "" {
		found = errors.CombineErrors(found, errors.New("the replica's address is not set"))
	}
	if c.StateMachine == nil {
		found = errors.CombineErrors(found, errors.New("the replica's state machine is not set"))
	}
	if c.HeartbeatInterval < c.TickInterval || c.ElectionTimeout < 2*c.HeartbeatInterval {
		found = errors.CombineErrors(found, errors.Newf(
			"the tick interval %s, heartbeat interval %s and election timeout %s do not fit together",
			c.TickInterval, c.HeartbeatInterval, c.ElectionTimeout))
	}
	return found
}
