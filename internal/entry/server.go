package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
	"github.com/pistachioport/pistachioport/internal/discovery"
	"github.com/pistachioport/pistachioport/internal/lease"
)

// Server is one entry. Its handlers accept requests while Run renews the
// entry's lease.
type Server struct {
	config          Config
	limits          Limits
	logger          *slog.Logger
	metrics         *entryMetrics
	session         string // random at each start
	claims          apiv1.Claims
	entryLink       apiv1.EntryLink
	regionLink      *balance.LinkBudget
	upstreams       *upstreams
	lease           *lease.Holder
	bodyMemory      bodyMemory
	view            atomic.Pointer[view]
	sequence        atomic.Uint64 // of the last renewal sent
	lookupSemaphore chan struct{} // one element for each lookup of confirmKeyFree in flight
	discovery       http.Handler

	// starved has an element once a request is queued for a service for which
	// the entry holds no slot.
	starved chan struct{}

	// background is the context of work that outlives its request.
	background       context.Context
	cancelBackground context.CancelFunc
	pendingSettles   sync.WaitGroup

	mu               sync.Mutex
	services         map[string]*service
	inFlight         int
	idle             chan struct{} // closed when the last request in flight ends; nil unless awaitIdle waits
	draining         bool
	closeConnections bool // responses carry "Connection: close"
}

// New returns an entry that accepts no requests until Run has renewed its lease.
func New(config Config) (*Server, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	regionLink := balance.NewLinkBudget(config.Limits.LinkBytesPerSecond, time.Now())
	s := &Server{
		config:          config,
		limits:          config.Limits,
		logger:          config.Logger.With("entry", config.Name),
		metrics:         newEntryMetrics(config.Metrics),
		session:         config.Name + "/" + uuid.NewString(),
		claims:          config.Client.Claims(),
		entryLink:       config.Client.EntryLink(),
		regionLink:      regionLink,
		upstreams:       newUpstreams(config.Location, regionLink),
		lease:           lease.NewHolder(config.Clock),
		bodyMemory:      bodyMemory{limit: config.Limits.MaxTotalBufferedBytes},
		lookupSemaphore: make(chan struct{}, maxConcurrentLookups),
		starved:         make(chan struct{}, 1),
		services:        make(map[string]*service),
		discovery:       discovery.NewHandler(config.Client.Discovery()),
	}
	s.background, s.cancelBackground = context.WithCancel(context.Background())
	s.view.Store(emptyView())
	return s, nil
}

// Session returns the name of this session: the entry's name and an id that is
// random at each start.
func (s *Server) Session() string {
	return s.session
}

// service returns the service with the name, creating it at its first use.
func (s *Server) service(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.services[name]
	if !ok {
		pool := balance.NewPool(s.config.Location, s.config.NewPolicy(), s.regionLink, uint64(time.Now().UnixNano()))
		found = newService(name, pool, s.limits)
		found.onStarved = s.signalStarved
		found.waitTimer = s.metrics.slotWait
		s.services[name] = found
	}
	return found
}

// allServices returns all services created so far.
func (s *Server) allServices() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		all = append(all, svc)
	}
	return all
}

// setView replaces the view and updates connection pools and services to it.
func (s *Server) setView(v *view) {
	s.view.Store(v)
	s.upstreams.update(v)
	groups := v.endpointsByService()
	for name := range groups {
		s.service(name)
	}
	for _, svc := range s.allServices() {
		svc.update(groups[svc.name], v.grants)
	}
}
