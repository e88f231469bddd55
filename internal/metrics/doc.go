// Package metrics exposes a metrics registry over HTTP.
package metrics
