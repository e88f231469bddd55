package failure_test

import (
	"testing"
	"time"
)

const (
	// conditionTimeout bounds every wait on a condition. It is no measure of speed.
	conditionTimeout = 60 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// await waits until the condition holds and fails the test otherwise.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	if !holdsWithin(conditionTimeout, condition) {
		t.Fatalf("waited %v for %s", conditionTimeout, what)
	}
}

// neverWithin fails the test if the condition holds at some time before the
// duration has passed.
func neverWithin(t testing.TB, d time.Duration, what string, condition func() bool) {
	t.Helper()
	if holdsWithin(d, condition) {
		t.Fatalf("seen within %v: %s", d, what)
	}
}

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
