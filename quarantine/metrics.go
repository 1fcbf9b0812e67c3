package quarantine

import "github.com/VictoriaMetrics/metrics"

var requestsHeld = metrics.NewGauge("coralstair_requests_held", nil)
