package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Apply executes the parts of a replicated command in a fixed order:
// registrations, lease expiries, reports, stops, then plans. It returns one
// verdict per plan. nowUnixMs is the time of the replicated clock.
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
