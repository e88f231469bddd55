package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// callerRequest is what the calls about jobs have in common.
type callerRequest interface {
	GetHost() string
	GetPath() string
	GetKeyDigest() []byte
}

// callerAccess is what one catalog allows a caller at a path.
type callerAccess struct {
	catalog         *jobs.Catalog
	keysRequired    bool
	unauthenticated bool         // the queue, if there is one, is not public, and no workspace has the key
	queue           *apiv1.Queue // nil: no route
	rest            string       // of the path, after the queue's prefix
	workspace       string       // that has the caller's key; empty: none, or no keys are required
}

// newCallerAccess checks the key, also where no route exists, so that a caller without a
// key learns nothing about routes.
func newCallerAccess(catalog *jobs.Catalog, keysRequired bool, request callerRequest) callerAccess {
	a := callerAccess{catalog: catalog, keysRequired: keysRequired}
	a.queue, a.rest = catalog.Route(request.GetHost(), request.GetPath())
	if keysRequired {
		a.workspace = catalog.WorkspaceOf(request.GetKeyDigest()).GetName()
		a.unauthenticated = a.workspace == "" && !a.queue.GetPublic()
	}
	return a
}

// namesJob reports whether the path has a route and may be that of a job.
func (a callerAccess) namesJob() bool { return a.queue != nil && isJobID(a.rest) }

// accessOf returns what the catalog in force allows the caller. It reads the catalog
// once, so that the key, the route and the limits are those of one publication.
func (s *Server) accessOf(request callerRequest) callerAccess {
	catalog := s.jobsTable().Catalog()
	return newCallerAccess(catalog, s.RequireKeys || catalog.RequiresKeys(), request)
}

// mayUseJob reports whether the caller may read or cancel the job that the path names,
// or submit it again. If keys are required, it is false for unknown jobs.
func (s *Server) mayUseJob(a callerAccess) bool {
	return !a.keysRequired || s.jobsTable().IsOpenTo(a.catalog, a.rest, a.workspace)
}

// decide returns the answer to a caller's request, or nil if the request is to be
// committed. A leader that is cut off may have an old catalog. It can't commit, so an
// answer without a commit needs a leadership that was confirmed after the request
// arrived, and a check after that. Without keys, only a missing route needs it.
func decide[T any](
	ctx context.Context, l *leadership, request callerRequest, answer func(callerAccess) *T,
) (callerAccess, *T, error) {
	s := l.server
	access := s.accessOf(request)
	result := answer(access)
	if result == nil || !access.keysRequired && access.namesJob() {
		return access, result, nil
	}
	if err := l.confirm(ctx); err != nil {
		return access, nil, err
	}
	if s.jobsTable().Catalog().Version() == 0 {
		return access, nil, twirp.NewError(twirp.FailedPrecondition, "nothing has been published yet")
	}
	access = s.accessOf(request)
	s.logForeignJob(access)
	return access, answer(access), nil
}

// logForeignJob logs a request of a workspace for a job of another one. The caller is
// answered as if there were no such job.
func (s *Server) logForeignJob(a callerAccess) {
	if !a.keysRequired || a.unauthenticated || !a.namesJob() {
		return
	}
	owner, known := s.jobsTable().WorkspaceOf(a.rest)
	if known && !s.mayUseJob(a) {
		s.Logger.Info("job belongs to another workspace", "job", a.rest, "queue", a.queue.GetName(), "workspace", a.workspace, "owner", owner)
	}
}

// jobIDHexDigits is the length of a job's id.
const jobIDHexDigits = 16

func isJobID(text string) bool {
	if len(text) != jobIDHexDigits {
		return false
	}
	for _, r := range text {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}
