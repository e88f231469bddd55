package command

import (
	"fmt"
	"strings"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// enumText formats an enum value without its prefix, such as TASK_STATE_RUNNING as
// running.
func enumText(name fmt.Stringer, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name.String(), prefix)), "_", "-")
}

func timeText(unixMs int64) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func resourcesText(r *apiv1.Resources) string {
	text := fmt.Sprintf("%g cpu, %s", float64(r.GetCpuMillis())/1000, tomlfile.FormatSize(r.GetMemoryBytes()))
	if r.GetAccelerators() > 0 {
		text += fmt.Sprintf(", %d acc", r.GetAccelerators())
	}
	return text
}

func locationText(l *apiv1.Location) string {
	parts := []string{l.GetRegion(), l.GetFailureDomain(), l.GetRack()}
	return strings.TrimRight(strings.Join(parts, "/"), "/")
}
