package daemoncmd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/supervise"
)

// metricsPort and metricsPath locate the Prometheus endpoint at the machine's address.
const (
	metricsPort = 9464
	metricsPath = "/metrics"
)

const readHeaderTimeout = 5 * time.Second

// serveMetrics returns a component that serves the metrics at an IP address.
func serveMetrics(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(metricsPort)))
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
		return supervise.ServeHTTP(ctx, server, listener)
	}
}
