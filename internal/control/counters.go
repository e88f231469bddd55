package control

import (
	"github.com/rcrowley/go-metrics"
)

// countedMethods are the methods with a call counter of their own. Callers may
// request any path, so other names would fill the registry without bound.
var countedMethods = map[string]bool{
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
