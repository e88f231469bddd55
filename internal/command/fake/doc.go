// Package fake implements the command line of pistachiofake, which the demo and the
// failure tests run for fake workers, endpoints and callers in separate processes.
package fake
