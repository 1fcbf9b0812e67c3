package retry

import "github.com/VictoriaMetrics/metrics"

var (
	retriesTaken   = metrics.NewCounter("coralstair_repeats_total")
	entriesAssumed = metrics.NewGauge("coralstair_retry_budget_entries", nil)
	retriesRefused = metrics.NewCounter("coralstair_repeats_without_budget_total")
)
