// Package scheduler decides placements. A Cell mirrors workers, jobs and tasks
// in an incremental index; a round of decisions is a function of the cell and
// the time it is given. Nothing here reads a clock or does I/O.
//
// Filters say which workers can take a task, scores which of them is the best.
// Each kind of job has its policy: services spread over failure domains and
// racks, batch tasks pack, gangs are placed whole or not at all.
package scheduler
