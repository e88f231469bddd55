// Package fake contains simple workers, endpoints and TCP relays for the demo and
// for tests. They use only the public interface.
package fake
