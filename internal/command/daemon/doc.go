// Package daemon holds the daemon's command line.
package daemon
