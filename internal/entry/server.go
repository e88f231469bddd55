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

// Server is one entry. Its handlers serve while Run renews the entry's lease.
type Server struct {
	config    Config
	limits    Limits
	logger    *slog.Logger
	metrics   *counters
	session   string // random at each start
	claims    apiv1.Claims
	link      apiv1.EntryLink
	budget    *balance.Link
	upstreams *upstreams
	lease     *lease.Holder
	memory    memory
	view      atomic.Pointer[view]
	sequence  atomic.Uint64 // of the last renewal
	verifying chan struct{}
	discovery http.Handler

	// starving has an element once a request waits for a service of which the
	// entry has no slot.
	starving chan struct{}

	// background is the context of work that outlives its request.
	background context.Context
	stop       context.CancelFunc
	settling   sync.WaitGroup

	mu       sync.Mutex
	services map[string]*service
	inFlight int
	idle     chan struct{} // closed when nothing is in flight, while draining
	draining bool
	closing  bool // answers close their connections
}

// New returns an entry that serves nothing until Run has renewed its lease.
func New(config Config) (*Server, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	budget := balance.NewLink(config.Limits.LinkBytesPerSecond, time.Now())
	s := &Server{
		config:    config,
		limits:    config.Limits,
		logger:    config.Logger.With("entry", config.Name),
		metrics:   newCounters(config.Metrics),
		session:   config.Name + "/" + uuid.NewString(),
		claims:    config.Client.Claims(),
		link:      config.Client.EntryLink(),
		budget:    budget,
		upstreams: newUpstreams(config.Location, budget),
		lease:     lease.NewHolder(config.Clock),
		memory:    memory{limit: config.Limits.BufferMemory},
		verifying: make(chan struct{}, maxVerifying),
		starving:  make(chan struct{}, 1),
		services:  make(map[string]*service),
		discovery: discovery.NewHandler(config.Client.Discovery()),
	}
	s.background, s.stop = context.WithCancel(context.Background())
	s.view.Store(emptyView())
	return s, nil
}

// Session returns the random name of this start of the process.
func (s *Server) Session() string {
	return s.session
}

// service returns the queue and pool of a service.
func (s *Server) service(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.services[name]
	if !ok {
		pool := balance.NewPool(s.config.Location, s.config.NewPolicy(), s.budget, uint64(time.Now().UnixNano()))
		found = newService(name, pool, s.limits)
		found.starved = s.noteStarved
		found.waited = s.metrics.wait
		s.services[name] = found
	}
	return found
}

// allServices returns the present services.
func (s *Server) allServices() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*service, 0, len(s.services))
	for _, one := range s.services {
		all = append(all, one)
	}
	return all
}

// apply takes over a new view.
func (s *Server) apply(v *view) {
	s.view.Store(v)
	s.upstreams.update(v)
	groups := v.byService()
	for name := range groups {
		s.service(name)
	}
	for _, one := range s.allServices() {
		one.update(groups[one.name], v.grants)
	}
}
