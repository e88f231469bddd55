// Package metrics exposes counters over HTTP.
package metrics
