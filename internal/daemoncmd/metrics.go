package daemoncmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// MetricsPort and MetricsPath are where a daemon tells its counters, at the machine's address.
const (
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

const headerTime = 5 * time.Second

// serveMetrics returns a part that tells the counters at an address.
func serveMetrics(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(MetricsPort)))
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return ctx.Err()
	}
}
