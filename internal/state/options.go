package state

// Options holds the tables that other packages bring. A nil table is absent:
// commands for it are refused.
type Options struct {
	Claims ClaimsTable
	Tasks  TasksTable
	Jobs   JobsTable
}
