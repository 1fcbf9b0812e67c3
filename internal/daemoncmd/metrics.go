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

// metricsPort and metricsPath are where a daemon tells its counters, at the machine's address.
const (
	metricsPort = 9464
	metricsPath = "/metrics"
)

const headerTime = 5 * time.Second

// serveMetrics returns a part that tells the counters at an address.
func serveMetrics(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(metricsPort)))
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
		return supervise.ServeHTTP(ctx, server, listener)
	}
}
