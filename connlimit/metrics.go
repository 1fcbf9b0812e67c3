package connlimit

import "github.com/VictoriaMetrics/metrics"

// listenerMetrics are the metrics of one listener.
type listenerMetrics struct {
	open    *metrics.Counter
	closed  *metrics.Counter
	refused *metrics.Counter
}

func newListenerMetrics(listener string) listenerMetrics {
	label := `{listener="` + listener + `"}`
	return listenerMetrics{
		open:    metrics.GetOrCreateCounter("coralstair_client_connections" + label),
		closed:  metrics.GetOrCreateCounter("coralstair_client_connections_closed_total" + label),
		refused: metrics.GetOrCreateCounter("coralstair_client_connections_refused_total" + label),
	}
}
