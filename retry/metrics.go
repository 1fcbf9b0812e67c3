package retry

import "github.com/VictoriaMetrics/metrics"

var (
	retriesTaken   = metrics.NewCounter("coralstair_repeats_total")
	retriesRefused = metrics.NewCounter("coralstair_repeats_without_budget_total")
)
