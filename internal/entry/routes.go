package entry

import (
	"path"
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// route maps the requests under a path prefix to a service.
type route struct {
	*apiv1.Route
	service string
	class   apiv1.Class // of the route, else of the service, else normal
}

// allows reports whether the route accepts the method. A route without methods
// accepts all.
func (r *route) allows(method string) bool {
	return len(r.GetMethods()) == 0 || slices.Contains(r.GetMethods(), method)
}

// routeTable looks up routes by longest path prefix. It is immutable.
type routeTable struct {
	byPrefix map[string]*route // without a trailing slash
}

func newRouteTable(configuration *apiv1.Configuration) *routeTable {
	table := &routeTable{byPrefix: make(map[string]*route)}
	for _, job := range configuration.GetJobs() {
		for _, r := range job.GetRoutes() {
			prefix := strings.TrimRight(r.GetPathPrefix(), "/")
			table.byPrefix[prefix] = &route{Route: r, service: job.GetName(), class: classOf(r, job)}
		}
	}
	return table
}

func classOf(r *apiv1.Route, job *apiv1.Job) apiv1.Class {
	for _, class := range []apiv1.Class{r.GetClass(), job.GetClass()} {
		if class != apiv1.Class_CLASS_UNSPECIFIED {
			return class
		}
	}
	return apiv1.Class_CLASS_NORMAL
}

// find returns the route with the longest prefix of the path. Prefixes match
// complete path segments only.
func (t *routeTable) find(requestPath string) (*route, bool) {
	prefix := strings.TrimRight(path.Clean("/"+requestPath), "/")
	for {
		if r, ok := t.byPrefix[prefix]; ok {
			return r, true
		}
		if prefix == "" {
			return nil, false
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// hasDotSegment reports whether a path contains "." or ".." as a segment. The
// endpoint could resolve such a path to another route than the entry did.
func hasDotSegment(requestPath string) bool {
	for segment := range strings.SplitSeq(requestPath, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
