// Package clock reads the clocks that leases depend on.
//
// A process can be stopped, and a VM suspended, without noticing. No single
// clock shows both: CLOCK_MONOTONIC stands still while a VM is suspended, and
// the wall clock can be stepped. A Reading therefore carries all three clocks.
package clock
