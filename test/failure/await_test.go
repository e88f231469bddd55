package failure_test

import (
	"testing"
	"time"
)

const (
	// conditionTimeout bounds every wait for a condition. It only limits failing tests
	// and is no performance requirement.
	conditionTimeout = 60 * time.Second
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 20 * time.Millisecond
)

// await waits until the condition holds and fails the test if it doesn't within
// conditionTimeout.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	if !holdsWithin(conditionTimeout, condition) {
		t.Fatalf("waited %v for %s", conditionTimeout, what)
	}
}

// neverWithin fails the test if the condition holds at any check within the
// duration.
func neverWithin(t testing.TB, d time.Duration, what string, condition func() bool) {
	t.Helper()
	if holdsWithin(d, condition) {
		t.Fatalf("condition met within %v: %s", d, what)
	}
}

// holdsWithin reports whether the condition holds at any check within the duration.
func holdsWithin(d time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		if condition() {
			return true
		}
	}
	return condition()
}
