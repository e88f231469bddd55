// Package daemon implements the command line of the daemon, pistachiod.
package daemon
