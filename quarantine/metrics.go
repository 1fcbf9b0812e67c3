package quarantine

import "github.com/VictoriaMetrics/metrics"

var (
	requestsQuarantined = metrics.NewGauge("coralstair_requests_held", nil)
	partsSuspected      = metrics.NewGauge("coralstair_prompt_parts_held", nil)
)
