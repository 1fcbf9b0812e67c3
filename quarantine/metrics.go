package quarantine

import "github.com/VictoriaMetrics/metrics"

var requestsQuarantined = metrics.NewGauge("coralstair_requests_held", nil)
