package control

import (
	"github.com/rcrowley/go-metrics"
)

// knownMethods are the methods that calls are counted by. A caller may ask for
// any path, so that other names are not taken into the registry.
var knownMethods = map[string]bool{
	"Renew":            true,
	"Announce":         true,
	"Withdraw":         true,
	"Change":           true,
	"Lookup":           true,
	"Form":             true,
	"InitCluster":      true,
	"ClusterStatus":    true,
	"Publish":          true,
	"GetConfiguration": true,
	"AwaitForce":       true,
	"ListAudit":        true,
	"ListEntries":      true,
	"ListEndpoints":    true,
	"ListWorkers":      true,
	"ListJobs":         true,
	"GetJob":           true,
}

func counter(registry metrics.Registry, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, registry)
}
