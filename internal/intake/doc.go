// Package intake is the part of the entry that handles callers' jobs: it forwards
// their calls to the leader and reports whether each call took effect, had no
// effect, or may have had one.
package intake
