package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/balance"
)

// BenchmarkPolicies prints the table in docs/design/balancing.md that compares
// the balancing policies. Time is virtual and seeds are fixed, so every run
// prints the same table.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name   string
		policy func() balance.Policy
		shared bool
	}{
		{"round robin", func() balance.Policy { return &balance.RoundRobin{} }, false},
		{"least in flight of two", func() balance.Policy { return balance.LeastInFlight{} }, false},
		{"feedback-weighted", func() balance.Policy { return balance.FeedbackWeighted{} }, false},
		{"slot shares", func() balance.Policy { return balance.SlotShares{} }, true},
		{"slot shares, feedback-weighted", func() balance.Policy { return balance.FeedbackWeighted{} }, true},
	}
	for range b.N {
		fmt.Println("\n| load | policy | urgent p50 | urgent p99 | bulk p50 | bulk p99 | slot use | errors | not run | over slots | link |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			for _, p := range policies {
				fmt.Println(tableRow(load, p.name, newModel(p.policy, p.shared).run(load)))
			}
		}
	}
}

func tableRow(load float64, name string, r modelResult) string {
	total := r.done + r.failed + r.shed
	share := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	use := r.busy.Seconds() / (modelMeasuredTime.Seconds() * modelEndpoints * modelSlots)
	return fmt.Sprintf("| %.0f %% | %s | %s | %s | %s | %s | %.0f %% | %.2f %% | %.1f %% | %.1f %% | %.0f KB/s |",
		100*load, name, formatMs(quantile(r.urgent, 0.5)), formatMs(quantile(r.urgent, 0.99)),
		formatMs(quantile(r.bulk, 0.5)), formatMs(quantile(r.bulk, 0.99)), 100*use,
		share(r.failed, total), share(r.shed, total), share(r.overSlots, r.sent), float64(r.linkBytes)/modelMeasuredTime.Seconds()/1000)
}

func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
