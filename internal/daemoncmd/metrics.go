package daemoncmd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/supervise"
)

// metricsPort and metricsPath locate the Prometheus endpoint at the machine's address.
const (
	metricsPort = 9464
	metricsPath = "/metrics"
)

const (
	// metricsTimeout bounds writing the metrics to a client.
	metricsTimeout = 10 * time.Second
	// metricsPercent of what clients may hold is for those that read metrics.
	metricsPercent = 5
)

// serveMetrics returns a component that serves the metrics of the daemon on a machine.
func serveMetrics(m machine.Machine, logger log.Interface) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		inner, err := net.Listen("tcp", net.JoinHostPort(m.Address, strconv.Itoa(metricsPort)))
		if err != nil {
			return err
		}
		listener := connlimit.NewListener(inner, connlimit.Options{
			Name: "metrics", Log: logger, Limits: connlimit.NewBudget(m.Memory, m.Descriptors).Share(metricsPercent),
		})
		mux := http.NewServeMux()
		mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
		server := &http.Server{Handler: mux, WriteTimeout: metricsTimeout}
		listener.Apply(server)
		return supervise.ServeHTTP(ctx, server, listener)
	}
}
