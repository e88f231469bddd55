package state

// Options holds the tables that other packages implement. Commands for a table that
// is nil are refused with RefusalNoTable.
type Options struct {
	Claims ClaimsTable
	Tasks  TasksTable
	Jobs   JobsTable
}
