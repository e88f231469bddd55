package spec

import (
	"math"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// Bounds of declared amounts.
const (
	maxProcessors   = 100000  // of a team's quota
	maxMemory       = 1 << 50 // bytes
	maxAccelerators = 1 << 20
	maxWorkers      = 100000
)

const milli = 1000 // thousandths of a processor

func readTeam(table *tomlfile.Table) *team {
	t := &team{
		Team: &apiv1.Team{
			Name:  readName(table, "name"),
			Quota: readResources(table),
		},
		table: table,
	}
	table.ReportUnknownKeys()
	return t
}

func readShape(table *tomlfile.Table) *shape {
	table.Require("count", "how many workers of this shape the cell has")
	s := &shape{
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

// readResources reads processors, memory and accelerators.
func readResources(table *tomlfile.Table) *apiv1.Resources {
	table.Require("processors", "a number such as 0.5")
	table.Require("memory", `a size such as "512MiB"`)
	processors := table.Float("processors", 0, 1.0/milli, maxProcessors)
	return &apiv1.Resources{
		CpuMillis:    int64(math.Round(processors * milli)),
		MemoryBytes:  table.Size("memory", 0, 1<<20, maxMemory),
		Accelerators: table.Int("accelerators", 0, 0, maxAccelerators),
	}
}
