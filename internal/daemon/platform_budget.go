package daemon

import (
	"log/slog"
	"net/http"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/bodybudget"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/platform"
)

const (
	// budgetFraction is the fraction of the VM's memory for requests in progress. The rest of memoryLimitFraction is for
	// the process itself, and what is above that for what the collector has not freed yet.
	budgetFraction = 0.4
	// defaultMemoryMB is the memory that is assumed if the settings state none.
	defaultMemoryMB = 512
)

// Shares of the budget that are reserved for one portion. What they leave is for all.
const (
	shareLog       = 0.25 // a control process's peers
	shareInternal  = 0.15 // calls between processes
	shareReports   = 0.15
	shareOperators = 0.05
	shareHeaders   = 0.15 // headers of all requests, and so calls without a body
	shareCallers   = 0.4
)

// Memory of a body that Twirp reads, in bytes for each of its bytes. Its buffer grows by a quarter at a time, so that
// up to 2.25 are held while it is copied.
const (
	logBodyFactor      = 3 // entries and snapshots are decoded to one copy after the buffer's growth
	internalBodyFactor = 4 // messages of short fields, which take more than their encoding
)

// maxAdvisorBodyBytes bounds a call for the policy service's advice, which names workers: 20 bytes each for 100,000.
const maxAdvisorBodyBytes = 2 << 20

// memoryBudgets are the portions of a process's memory budget. Those of the other role are nil.
type memoryBudgets struct {
	headers, callers, internal, log *bodybudget.Portion
	platform                        platform.ControlBudgets
}

// newMemoryBudgets returns the portions for the roles of the settings.
func newMemoryBudgets(s *platform.Settings, logger *slog.Logger, registry gometrics.Registry) memoryBudgets {
	memoryMB := s.Limits.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	budget := bodybudget.New(int64(budgetFraction*float64(memoryMB<<20)), logger, registry)
	budgets := memoryBudgets{
		headers:  budget.NewPortion("headers", shareHeaders, registry),
		internal: budget.NewPortion("internal", shareInternal, registry),
	}
	if s.ServesControl() {
		budgets.log = budget.NewPortion("log", shareLog, registry)
		budgets.platform.Reports = budget.NewPortion("reports", shareReports, registry)
		budgets.platform.Operators = budget.NewPortion("operators", shareOperators, registry)
		return budgets
	}
	budgets.callers = budget.NewPortion("callers", shareCallers, registry)
	return budgets
}

// logBodyOptions returns the options for calls of the log's members. A snapshot is as large as the state, so there is
// no limit but the portion.
func logBodyOptions() bodybudget.Options {
	return bodybudget.Options{Factor: logBodyFactor, Refuse: refuseInternalBody}
}

// internalBodyOptions returns the options for calls between processes with bodies of at most limit bytes; 0: the
// service has its own limit.
func internalBodyOptions(limit int64) bodybudget.Options {
	return bodybudget.Options{Factor: internalBodyFactor, Limit: limit, Refuse: refuseInternalBody}
}

// refuseInternalBody answers a call that the memory budget has ended. The answer says that the call had no effect, so
// that clients try again.
func refuseInternalBody(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(int(bodybudget.RetryAfter.Seconds())))
	refusal := rpc.Refusal(reason)
	_ = twirp.WriteError(w, refusal) // an error means that the client has disconnected
}
