package daemon

import gometrics "github.com/rcrowley/go-metrics"

// reportContracts logs the contracts of the settings that are not implemented, and sets
// a gauge to their number. The process starts all the same, because the deployment may
// not need them.
func (p *platformProcess) reportContracts() {
	unimplemented := p.settings.UnimplementedContracts()
	gometrics.GetOrRegisterGauge("platform.contracts.unimplemented", p.registry).Update(int64(len(unimplemented)))
	if len(unimplemented) > 0 {
		p.logger.Warn("contracts not implemented", "contracts", unimplemented)
	}
}
