// Package failure_test runs the daemon as separate processes on loopback and
// brings about the failures that the system is meant to survive.
package failure_test
