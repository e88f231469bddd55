package jobs

import (
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Catalog holds the published queues and services, with the queues indexed by
// host. It is immutable.
type Catalog struct {
	published *apiv1.Catalog
	byHost    map[string][]*apiv1.Queue
	// workspaces holds the workspaces by name.
	workspaces map[string]*apiv1.Workspace
}

func newCatalog(published *apiv1.Catalog) *Catalog {
	c := &Catalog{published: published, byHost: make(map[string][]*apiv1.Queue), workspaces: workspacesByName(published)}
	for _, queue := range published.GetQueues() {
		c.byHost[queue.GetHost()] = append(c.byHost[queue.GetHost()], queue)
	}
	return c
}

// Version returns the catalog's version; 0 before the first publication.
func (c *Catalog) Version() uint64 { return c.published.GetVersion() }

// Document returns the published document byte for byte.
func (c *Catalog) Document() []byte { return c.published.GetDocument() }

// MaxBodyBytes returns the size of the largest body that callers may send; 0 means
// no limit.
func (c *Catalog) MaxBodyBytes() int64 { return c.published.GetMaxBodyBytes() }

// Route returns the host's queue with the longest matching path prefix, and the
// rest of the path after that prefix. The queue is nil if none matches.
func (c *Catalog) Route(host, path string) (*apiv1.Queue, string) {
	var found *apiv1.Queue
	for _, queue := range c.byHost[host] {
		if strings.HasPrefix(path, queue.GetPathPrefix()) &&
			(found == nil || len(queue.GetPathPrefix()) > len(found.GetPathPrefix())) {
			found = queue
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.GetPathPrefix()):]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *apiv1.WorkerService {
	for _, service := range c.published.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}
