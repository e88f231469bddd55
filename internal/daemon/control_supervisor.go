package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/metrics"
	"github.com/pistachioport/pistachioport/internal/storage"
	"github.com/pistachioport/pistachioport/platform"
)

// folderProbeInterval is the time between two checks whether a refusing disk accepts
// writes again.
const folderProbeInterval = 200 * time.Millisecond

// controlSupervisor runs a control role, and runs it anew after the disk has refused an
// operation on its data folder, once the disk accepts writes again. In between the
// process stays up: it reports the failure, and refuses every other call, but neither
// acknowledges nor votes. Ending the process instead would leave its restart to the
// platform, as often as the disk stays full.
type controlSupervisor struct {
	// build opens the data folder and returns the role. end is nil at first, then the
	// durable end of the folder that failed.
	build   func(end *storage.Position) (*controlRole, error)
	folder  string
	disk    storage.FileSystem // of the folder; nil: storage.Disk
	address string             // internal address to listen at while there is no role
	// listen opens the listener at the address; nil: without bounds.
	listen func(address string, handler http.Handler) (*listener, error)
	logger *slog.Logger

	registry    gometrics.Registry
	unavailable gometrics.Gauge // 1 while the data folder can't be used
	end         *storage.Position

	mu       sync.Mutex
	role     *controlRole       // nil while the data folder can't be used
	reloaded *platform.Settings // last settings passed to reload; nil: none
}

// newControlSupervisor returns a supervisor with its role, unless the disk refuses to
// open the data folder. Other errors are returned.
func newControlSupervisor(s *controlSupervisor) (*controlSupervisor, error) {
	s.unavailable = gometrics.GetOrRegisterGauge("daemon.folder.unavailable", s.registry)
	role, err := s.build(nil)
	if err != nil && !errors.Is(err, storage.ErrUnavailable) {
		return nil, err
	}
	if err != nil {
		s.recordFailure(err)
	}
	s.role = role
	return s, nil
}

// run runs the role until ctx ends. It returns an error if the role fails for another
// reason than the disk.
func (s *controlSupervisor) run(ctx context.Context) error {
	for {
		if role := s.currentRole(); role != nil {
			err := role.run(ctx)
			if err == nil || !errors.Is(err, storage.ErrUnavailable) {
				return err
			}
			end := role.replica.DurableEnd()
			s.end = &end
			s.setRole(nil)
			s.recordFailure(err)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := s.restore(ctx); err != nil {
			return err
		}
	}
}

// restore waits until the disk accepts writes and builds the role, or until ctx ends.
func (s *controlSupervisor) restore(ctx context.Context) error {
	begin := time.Now()
	placeholder, err := s.listenAt(s.address, unavailableHandler(s.registry, s.folder))
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- placeholder.serve() }()
	err = s.awaitFolder(ctx)
	placeholder.close()
	if err := errors.CombineErrors(err, <-served); err != nil || ctx.Err() != nil {
		return err
	}
	role, err := s.build(s.end)
	if errors.Is(err, storage.ErrUnavailable) {
		return nil // it failed again after the probe
	}
	if err != nil {
		return err
	}
	s.setRole(role)
	s.unavailable.Update(0)
	s.logger.Info("data folder usable again", "folder", s.folder, "unavailable_ms", time.Since(begin).Milliseconds())
	return nil
}

// listenAt opens the listener of a process that has no role.
func (s *controlSupervisor) listenAt(address string, handler http.Handler) (*listener, error) {
	if s.listen != nil {
		return s.listen(address, handler)
	}
	return listen(address, handler, requestReadTimeout, s.logger)
}

// awaitFolder returns nil once the data folder accepts writes, or when ctx ends.
func (s *controlSupervisor) awaitFolder(ctx context.Context) error {
	ticker := time.NewTicker(folderProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if storage.Probe(s.disk, s.folder) == nil {
			return nil
		}
	}
}

func (s *controlSupervisor) recordFailure(err error) {
	s.unavailable.Update(1)
	// The error begins with the path, which may be too long for collectors to keep what follows.
	s.logger.Error("data folder can't be used; no votes until it can", "cause", errors.UnwrapAll(err), "folder", s.folder, "error", err)
}

func (s *controlSupervisor) currentRole() *controlRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// setRole replaces the role. A new one gets the settings that were reloaded before.
func (s *controlSupervisor) setRole(role *controlRole) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = role
	if role != nil && s.reloaded != nil {
		role.reload(s.reloaded)
	}
}

// reload implements reloader.
func (s *controlSupervisor) reload(changed *platform.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloaded = changed
	if s.role != nil {
		s.role.reload(changed)
	}
}

// unavailableHandler serves the metrics and refuses every call.
func unavailableHandler(registry gometrics.Registry, folder string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(registry))
	mux.Handle("/", refusingHandler("the data folder "+folder+" can't be used"))
	return mux
}
