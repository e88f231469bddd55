package jobs

import (
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Catalog is the published queues and services, with an index by host. It does
// not change.
type Catalog struct {
	published *apiv1.Catalog
	byHost    map[string][]*apiv1.Queue
}

func newCatalog(published *apiv1.Catalog) *Catalog {
	c := &Catalog{published: published, byHost: make(map[string][]*apiv1.Queue)}
	for _, queue := range published.GetQueues() {
		c.byHost[queue.GetHost()] = append(c.byHost[queue.GetHost()], queue)
	}
	return c
}

// Version returns the catalog's version; 0 before the first publication.
func (c *Catalog) Version() uint64 { return c.published.GetVersion() }

// Document returns the publication as it was sent.
func (c *Catalog) Document() []byte { return c.published.GetDocument() }

// MaxBodyBytes returns the largest body that callers may send; 0: no limit.
func (c *Catalog) MaxBodyBytes() int64 { return c.published.GetMaxBodyBytes() }

// Route returns the queue with the longest prefix of the path and what follows
// the prefix. The queue is nil if there is none.
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

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *apiv1.WorkerService {
	for _, service := range c.published.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}
