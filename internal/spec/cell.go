package spec

import (
	"math"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// Upper bounds of the amounts in teams' quotas and worker shapes, and of the number of
// workers of a shape.
const (
	maxProcessors   = 100000 // large enough for a team's quota
	maxMemoryBytes  = 1 << 50
	maxAccelerators = 1 << 20
	maxWorkers      = 100000
)

const milliPerProcessor = 1000 // CPU amounts are in thousandths of a processor

// readTeam reads a table [[team]].
func readTeam(table *tomlfile.Table) *parsedTeam {
	t := &parsedTeam{
		Team: &apiv1.Team{
			Name:  readName(table, "name"),
			Quota: readResources(table),
		},
		table: table,
	}
	table.ReportUnknownKeys()
	return t
}

// readShape reads a table [[worker_shape]].
func readShape(table *tomlfile.Table) *parsedShape {
	table.Require("count", "how many workers of this shape the cell has")
	s := &parsedShape{
		WorkerShape: &apiv1.WorkerShape{
			Name:      readName(table, "name"),
			Resources: readResources(table),
		},
		count: table.Int("count", 0, 1, maxWorkers),
		table: table,
	}
	table.ReportUnknownKeys()
	return s
}

// readResources reads the keys processors, memory and accelerators of a table.
func readResources(table *tomlfile.Table) *apiv1.Resources {
	table.Require("processors", "a number such as 0.5")
	table.Require("memory", `a size such as "512MiB"`)
	processors := table.Float("processors", 0, 1.0/milliPerProcessor, maxProcessors)
	return &apiv1.Resources{
		CpuMillis:    int64(math.Round(processors * milliPerProcessor)),
		MemoryBytes:  table.Size("memory", 0, 1<<20, maxMemoryBytes),
		Accelerators: table.Int("accelerators", 0, 0, maxAccelerators),
	}
}
