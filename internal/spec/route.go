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

// unsafeMethods make a route non-idempotent unless its file says otherwise.
var unsafeMethods = []string{"PATCH", "POST"}

const maxPathLength = 1024 // bytes

const pathAllowed = `a clean path that starts with "/", without "*", "?" or "#"`

func readRoute(table *tomlfile.Table, jobClass apiv1.Class) *route {
	table.Require("path", pathAllowed)
	r := &route{
		table: table,
		Route: &apiv1.Route{
			PathPrefix: table.String("path", ""),
			Methods:    table.Strings("methods"),
			TimeoutMs:  table.Duration("timeout", 0, minRouteTimeout, maxRouteTimeout).Milliseconds(),
			Class:      jobClass,
		},
	}
	r.NonIdempotent = table.Bool("non_idempotent", mayBeUnsafe(r.GetMethods()))
	if class := readClass(table); table.Has("class") {
		r.Class = class
	}
	checkPath(table, r.GetPathPrefix())
	checkMethods(table, r.GetMethods())
	table.ReportUnknownKeys()
	return r
}

// mayBeUnsafe reports whether one of the methods changes something each time.
// No method named means all.
func mayBeUnsafe(named []string) bool {
	return len(named) == 0 || slices.ContainsFunc(named, func(method string) bool {
		return slices.Contains(unsafeMethods, method)
	})
}

func checkPath(table *tomlfile.Table, prefix string) {
	if !table.Has("path") {
		return
	}
	clean := path.Clean(prefix) == strings.TrimSuffix(prefix, "/") || prefix == "/"
	if !strings.HasPrefix(prefix, "/") || !clean || strings.ContainsAny(prefix, "*?# ") {
		table.Report("path", pathAllowed, "%s = %q is no valid path", table.KeyPath("path"), prefix)
	}
	if len(prefix) > maxPathLength {
		table.Report("path", "", "%s has %d bytes; the limit is %d", table.KeyPath("path"), len(prefix), maxPathLength)
	}
	if prefix == "/healthz" {
		table.Report("path", "another path", "%s = %q is kept for the balancer's health check", table.KeyPath("path"), prefix)
	}
}

func checkMethods(table *tomlfile.Table, named []string) {
	for i, method := range named {
		if !slices.Contains(methods, method) {
			table.Report("methods", strings.Join(methods, ", "), "%s has the unknown method %q", table.KeyPath("methods"), method)
		}
		if slices.Contains(named[:i], method) {
			table.Report("methods", "each method once", "%s names %q twice", table.KeyPath("methods"), method)
		}
	}
}
