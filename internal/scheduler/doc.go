// Package scheduler decides placements. A Cell mirrors workers, jobs and tasks
// in an incremental index; the decisions of a round depend only on the cell and
// the given time. The package reads no clock and does no I/O.
//
// Filters decide which workers can run a task, scorers rank them. Each kind of
// job has its policy: services spread over failure domains and racks, batch
// tasks are packed, gangs are placed all or nothing.
package scheduler
