package entry

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// Config configures a Server. Client, Name and Location are required; the
// defaults apply to other fields that are zero.
type Config struct {
	Name           string
	Address        string // host:port at which callers reach the entry
	Location       *apiv1.Location
	Client         *rpc.Client
	Clock          clock.Clock
	Logger         *slog.Logger
	Metrics        metrics.Registry
	MetricsHandler http.Handler          // serves /metrics on the announce listener; nil: /metrics is not served
	NewPolicy      func() balance.Policy // returns the policy of one service; nil: SlotShares
	Limits         Limits
	BalancerDelay  time.Duration // from /healthz failing until the platform's balancer sends no new requests
}

// Limits bounds the time, memory and bandwidth that requests may use.
type Limits struct {
	DefaultTimeout           time.Duration // of requests on routes that set no timeout
	MaxTimeout               time.Duration // of any request
	MaxQueueLength           int           // waiting requests per service
	MaxBodyBytes             int64         // bytes of a request body
	MaxBufferedBodyBytes     int64         // bytes of a request body kept for retries or for the digest of a keyed request
	MaxTotalBufferedBytes    int64         // bytes of all buffered request bodies together
	MaxKeptAnswerBytes       int           // bytes of a response body stored for replay to resends
	MaxBufferedResponseBytes int           // bytes up to which a response body is read completely before it is sent to the caller
	LeaseGrace               time.Duration // how long a new request waits for an expired entry lease to be renewed
	SpillAfter               time.Duration // queueing time after which a request may use another region
	LinkBytesPerSecond       float64       // over the link between regions, for this entry
	CallerWriteTimeout       time.Duration // after which a caller that accepts no byte of its response is cut off
	ClaimTimeout             time.Duration // past the request's deadline, for aborting its claim
}

// Defaults of Config and Limits.
const (
	DefaultBalancerDelay            = 5 * time.Second
	defaultTimeout                  = 30 * time.Second
	defaultMaxTimeout               = 10 * time.Minute
	defaultMaxQueueLength           = 1024
	defaultMaxBodyBytes             = 64 << 20
	defaultMaxBufferedBodyBytes     = 1 << 20
	defaultMaxTotalBufferedBytes    = 64 << 20
	defaultMaxKeptAnswerBytes       = 16 << 10
	defaultMaxBufferedResponseBytes = 64 << 10
	defaultLeaseGrace               = time.Second
	defaultSpillAfter               = 50 * time.Millisecond
	defaultLinkBytesPerSecond       = 30e6 / 8 / 4 / 12 // a quarter of 30 Mbit/s, shared by 12 entries
	defaultCallerWriteTimeout       = 30 * time.Second
	defaultClaimTimeout             = 2 * time.Second
)

func (c Config) withDefaults() (Config, error) {
	if c.Client == nil {
		return c, errors.New("entry: Client is not set")
	}
	if c.Name == "" {
		return c, errors.New("entry: Name is not set")
	}
	if c.Location.GetRegion() == "" || c.Location.GetFailureDomain() == "" {
		return c, errors.Newf("entry %q: Location lacks a region or a failure domain", c.Name)
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
	if c.NewPolicy == nil {
		c.NewPolicy = func() balance.Policy { return balance.SlotShares{} }
	}
	if c.BalancerDelay == 0 {
		c.BalancerDelay = DefaultBalancerDelay
	}
	c.Limits = c.Limits.withDefaults()
	return c, nil
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.DefaultTimeout, defaultTimeout)
	setDefault(&l.MaxTimeout, defaultMaxTimeout)
	setDefault(&l.MaxQueueLength, defaultMaxQueueLength)
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.MaxBufferedBodyBytes, defaultMaxBufferedBodyBytes)
	setDefault(&l.MaxTotalBufferedBytes, defaultMaxTotalBufferedBytes)
	setDefault(&l.MaxKeptAnswerBytes, defaultMaxKeptAnswerBytes)
	setDefault(&l.MaxBufferedResponseBytes, defaultMaxBufferedResponseBytes)
	setDefault(&l.LeaseGrace, defaultLeaseGrace)
	setDefault(&l.SpillAfter, defaultSpillAfter)
	setDefault(&l.LinkBytesPerSecond, defaultLinkBytesPerSecond)
	setDefault(&l.CallerWriteTimeout, defaultCallerWriteTimeout)
	setDefault(&l.ClaimTimeout, defaultClaimTimeout)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
