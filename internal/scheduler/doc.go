// Package scheduler decides placements. Every decision is a pure function of a snapshot; nothing here reads a clock or does I/O.
package scheduler
