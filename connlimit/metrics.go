package connlimit

import "github.com/VictoriaMetrics/metrics"

// metricSet holds the metrics of a listener.
type metricSet struct {
	open    *metrics.Counter
	closed  *metrics.Counter
	refused *metrics.Counter
}

func newMetricSet(listener string) metricSet {
	label := `{listener="` + listener + `"}`
	return metricSet{
		open:    metrics.GetOrCreateCounter("coralstair_client_connections" + label),
		closed:  metrics.GetOrCreateCounter("coralstair_client_connections_closed_total" + label),
		refused: metrics.GetOrCreateCounter("coralstair_client_connections_refused_total" + label),
	}
}
