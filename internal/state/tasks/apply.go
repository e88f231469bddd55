package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Apply carries out the command's arms in order and answers each plan.
// nowUnixMs is the replicated clock.
func (t *Table) Apply(nowUnixMs int64, command *apiv1.PlacementCommand) *apiv1.PlacementResult {
	t.advance(nowUnixMs)
	t.settleProbes()
	for _, registered := range command.GetRegister() {
		t.register(registered)
		t.release()
	}
	for _, expiry := range command.GetExpire() {
		t.expire(expiry)
		t.release()
	}
	for _, report := range command.GetReports() {
		t.report(report)
		t.release()
	}
	for _, id := range command.GetStop() {
		t.stopByID(id)
		t.release()
	}
	result := &apiv1.PlacementResult{}
	for _, plan := range command.GetPlans() {
		result.Verdicts = append(result.Verdicts, t.plan(plan))
		t.release()
	}
	return result
}
