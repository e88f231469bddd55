// Package failure_test runs the daemon as separate processes on loopback addresses
// and injects the failures that the system must tolerate.
package failure_test
