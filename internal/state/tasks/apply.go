package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Apply carries out the command's arms in order and answers each plan.
// nowUnixMs is the replicated clock.
func (t *Table) Apply(nowUnixMs int64, command *apiv1.PlacementCommand) *apiv1.PlacementResult {
	t.advanceClock(nowUnixMs)
	t.endPassedQuarantines()
	for _, registered := range command.GetRegister() {
		t.registerWorker(registered)
		t.releaseLocks()
	}
	for _, expiry := range command.GetExpire() {
		t.expireWorker(expiry)
		t.releaseLocks()
	}
	for _, report := range command.GetReports() {
		t.applyReport(report)
		t.releaseLocks()
	}
	for _, id := range command.GetStop() {
		t.stopAttempt(id)
		t.releaseLocks()
	}
	result := &apiv1.PlacementResult{}
	for _, plan := range command.GetPlans() {
		result.Verdicts = append(result.Verdicts, t.applyPlan(plan))
		t.releaseLocks()
	}
	return result
}
