// Package clock reads the clocks that leases are measured with.
//
// A process may be stopped and its VM suspended without either noticing, and no
// single clock measures the elapsed time reliably: CLOCK_MONOTONIC stops while a
// VM is suspended, and the wall clock can be stepped. A Reading therefore holds
// the monotonic, the boot and the wall clock.
package clock
