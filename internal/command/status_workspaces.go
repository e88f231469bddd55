package command

import (
	"context"
	"fmt"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func (s *session) showWorkspaces(ctx context.Context, client *rpc.Client) error {
	response, err := call(ctx, s, client.Jobs().ListWorkspaces, &apiv1.ListWorkspacesRequest{})
	if err != nil {
		return err
	}
	t := &table{header: []string{
		"WORKSPACE", "USED", "CAP", "SHARE", "FAIR SHARE", "WEIGHT", "WAITING", "HELD BY CAP", "ACCEPTED", "OVER RATE", "REFUSED",
	}}
	for _, u := range response.GetWorkspaces() {
		w := u.GetWorkspace()
		t.add(w.GetName(), amountsText(u.GetCpuMillis(), u.GetMemoryMb(), u.GetAccelerators(), "0"),
			amountsText(w.GetCapCpuMillis(), w.GetCapMemoryMb(), w.GetCapAccelerators(), "none"),
			percentText(u.GetShare()), percentText(u.GetFairShare()), w.GetWeight(), u.GetWaitingUnits(), u.GetHeldByCap(),
			u.GetAccepted(), u.GetOverRate(), u.GetRefused())
	}
	return s.show(response, t)
}

// amountsText returns the text of thousandths of a core, MB and accelerators. Those that are 0 are left
// out; none is returned if all are.
func amountsText(cpuMillis, memoryMB, accelerators int64, none string) string {
	var parts []string
	if cpuMillis != 0 {
		parts = append(parts, fmt.Sprintf("%g cpu", float64(cpuMillis)/1000))
	}
	if memoryMB != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", memoryMB))
	}
	if accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d acc", accelerators))
	}
	if len(parts) == 0 {
		return none
	}
	return strings.Join(parts, ", ")
}

func percentText(fraction float64) string { return fmt.Sprintf("%.1f %%", 100*fraction) }
