// Package discovery is how endpoints are announced and how an entry sees them.
package discovery
