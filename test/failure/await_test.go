package failure_test

import (
	"testing"
	"time"
)

const (
	// patience bounds every wait on a condition. It is no measure of speed.
	patience = 60 * time.Second
	// pollPause is the time between two looks at a condition.
	pollPause = 20 * time.Millisecond
)

// await waits until the condition holds and fails the test otherwise.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	if !holdsWithin(patience, condition) {
		t.Fatalf("waited %v for %s", patience, what)
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
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		if condition() {
			return true
		}
	}
	return condition()
}
