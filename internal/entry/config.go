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

// Config sets an entry up. Client, Name and Location are required; other zero
// values mean the defaults.
type Config struct {
	Name           string
	Address        string // where callers reach the entry, host:port
	Location       *apiv1.Location
	Client         *rpc.Client
	Clock          clock.Clock
	Logger         *slog.Logger
	Metrics        metrics.Registry
	MetricsHandler http.Handler          // serves /metrics on the announce listener; nil: none
	NewPolicy      func() balance.Policy // a policy for each service; nil: SlotShares
	Limits         Limits
	BalancerDelay  time.Duration // from /healthz failing until the platform's balancer sends nothing more
}

// Limits bounds what requests may use.
type Limits struct {
	DefaultTimeout      time.Duration // of requests on routes without one
	MaxTimeout          time.Duration // of any request
	MaxQueue            int           // waiting requests a service
	MaxBody             int64         // bytes of a request
	MaxBufferedBody     int64         // bytes of a body kept for retries or for a keyed request's digest
	BufferMemory        int64         // bytes of all buffered request bodies
	MaxKeptAnswer       int           // bytes of an answer kept for resends
	MaxBufferedResponse int           // bytes of an answer that is read whole before it is sent on
	LeaseGrace          time.Duration // for which a new request waits while the entry's lease has run out
	SpillAfter          time.Duration // of waiting before a request may go to another region
	LinkBytesPerSecond  float64       // bytes a second over the link between regions, for this entry
	CallerWriteTimeout  time.Duration // for which a caller may accept no byte of an answer
	ClaimTimeout        time.Duration // of one claim change past the request's deadline
}

// Defaults of Config and Limits.
const (
	DefaultBalancerDelay       = 5 * time.Second
	defaultTimeout             = 30 * time.Second
	defaultMaxTimeout          = 10 * time.Minute
	defaultMaxQueue            = 1024
	defaultMaxBody             = 64 << 20
	defaultMaxBufferedBody     = 1 << 20
	defaultBufferMemory        = 64 << 20
	defaultMaxKeptAnswer       = 16 << 10
	defaultMaxBufferedResponse = 64 << 10
	defaultLeaseGrace          = time.Second
	defaultSpillAfter          = 50 * time.Millisecond
	defaultLinkBytesPerSecond  = 30e6 / 8 / 4 / 12 // a quarter of 30 Mbit/s, divided by 12 entries
	defaultCallerWriteTimeout  = 30 * time.Second
	defaultClaimTimeout        = 2 * time.Second
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
	setDefault(&l.MaxQueue, defaultMaxQueue)
	setDefault(&l.MaxBody, defaultMaxBody)
	setDefault(&l.MaxBufferedBody, defaultMaxBufferedBody)
	setDefault(&l.BufferMemory, defaultBufferMemory)
	setDefault(&l.MaxKeptAnswer, defaultMaxKeptAnswer)
	setDefault(&l.MaxBufferedResponse, defaultMaxBufferedResponse)
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
