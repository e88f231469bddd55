package spec

import (
	"path"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

const (
	minRouteTimeout = 10 * time.Millisecond
	maxRouteTimeout = time.Hour
)

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// nonIdempotentMethods make a route non-idempotent, unless its key non_idempotent is
// false.
var nonIdempotentMethods = []string{"PATCH", "POST"}

const maxPathBytes = 1024

const allowedPaths = `a clean path that starts with "/", without "*", "?" or "#"`

// readRoute reads and checks a route of a job. The job's class is the default.
func readRoute(table *tomlfile.Table, jobClass apiv1.Class) *parsedRoute {
	table.Require("path", allowedPaths)
	r := &parsedRoute{
		table: table,
		Route: &apiv1.Route{
			PathPrefix: table.String("path", ""),
			Methods:    table.Strings("methods"),
			TimeoutMs:  table.Duration("timeout", 0, minRouteTimeout, maxRouteTimeout).Milliseconds(),
			Class:      jobClass,
		},
	}
	r.NonIdempotent = table.Bool("non_idempotent", mayBeNonIdempotent(r.GetMethods()))
	if class := readClass(table); table.Has("class") {
		r.Class = class
	}
	checkPath(table, r.GetPathPrefix())
	checkMethods(table, r.GetMethods())
	table.ReportUnknownKeys()
	return r
}

// mayBeNonIdempotent reports whether one of the methods is non-idempotent by default. An
// empty list means all methods.
func mayBeNonIdempotent(listed []string) bool {
	return len(listed) == 0 || slices.ContainsFunc(listed, func(method string) bool {
		return slices.Contains(nonIdempotentMethods, method)
	})
}

// checkPath reports a path prefix that is not clean, is too long or is reserved.
func checkPath(table *tomlfile.Table, prefix string) {
	if !table.Has("path") {
		return
	}
	clean := path.Clean(prefix) == strings.TrimSuffix(prefix, "/") || prefix == "/"
	if !strings.HasPrefix(prefix, "/") || !clean || strings.ContainsAny(prefix, "*?# ") {
		table.Report("path", allowedPaths, "%s = %q is no valid path", table.KeyPath("path"), prefix)
	}
	if len(prefix) > maxPathBytes {
		table.Report("path", "", "%s has %d bytes; the limit is %d", table.KeyPath("path"), len(prefix), maxPathBytes)
	}
	if prefix == "/healthz" {
		table.Report("path", "another path", "%s = %q is kept for the balancer's health check", table.KeyPath("path"), prefix)
	}
}

// checkMethods reports methods that are unknown or occur twice.
func checkMethods(table *tomlfile.Table, listed []string) {
	for i, method := range listed {
		if !slices.Contains(methods, method) {
			table.Report("methods", strings.Join(methods, ", "), "%s has the unknown method %q", table.KeyPath("methods"), method)
		}
		if slices.Contains(listed[:i], method) {
			table.Report("methods", "each method once", "%s names %q twice", table.KeyPath("methods"), method)
		}
	}
}
