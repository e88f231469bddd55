// Package fake has small workers, endpoints and relays for the demo and for tests, speaking only the public interface.
package fake
