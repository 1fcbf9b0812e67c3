package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/view"
)

const (
	// headerTime and idleCallerTime bound callers until a configuration says otherwise; headerRoom is what net/http
	// reads of a header at most.
	headerTime     = 5 * time.Second
	idleCallerTime = 60 * time.Second
	headerRoom     = 64 << 10
	// lameTime is how long a leaving entry still takes requests: the balancer asks once a second and believes the
	// second miss.
	lameTime = 2500 * time.Millisecond
	// graceMargin is kept from the time that a planned stop may take.
	graceMargin = 500 * time.Millisecond
)

// Config is what an entry works with.
type Config struct {
	Machine machine.Machine
	View    *view.View
	Wire    Wire
	Log     log.Interface
	// Callers and Ready take the callers' and the balancer's connections.
	Callers net.Listener
	Ready   net.Listener
}

// Entry takes callers' requests and calls upstreams directly.
type Entry struct {
	cfg       Config
	log       log.Interface
	transport *http.Transport
	upstreams upstreams
	budget    *Budget
	admission admission.Services
	reports   *reports
	callers   *http.Server
	ready     *http.Server
	leaving   atomic.Bool
}

// New returns an entry that does not run yet.
func New(cfg Config) *Entry {
	bounds := cfg.Machine.Bounds
	e := &Entry{
		cfg: cfg, log: cfg.Log, transport: newTransport(),
		budget: NewBudget(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow),
	}
	e.reports = newReports(e)
	e.callers = &http.Server{
		Handler: e, ReadHeaderTimeout: headerTime, IdleTimeout: idleCallerTime, MaxHeaderBytes: headerRoom,
		ErrorLog: nil,
	}
	e.ready = &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTime}
	return e
}

// Parts returns what runs in the entry.
func (e *Entry) Parts() []supervise.Part {
	return []supervise.Part{
		{Name: "callers", Run: func(ctx context.Context) error { return serve(ctx, e.callers, e.cfg.Callers) }},
		{Name: "ready", Run: func(ctx context.Context) error { return serve(ctx, e.ready, e.cfg.Ready) }},
		{Name: "upstreams", Run: e.followServers},
		{Name: "reports", Run: e.reports.serve},
		{Name: "ways", Run: e.reports.measureWays},
	}
}

// Leave takes the entry out of service: the balancer is told, what is in progress is finished, then callers are closed.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info("entry: leaving")
	deadline := time.Now().Add(e.cfg.Machine.Bounds.Grace - graceMargin)
	select {
	case <-ctx.Done():
	case <-time.After(lameTime):
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.WithField("cause", err.Error()).Warn("entry: left with requests in progress")
		_ = e.callers.Close()
		return
	}
	e.log.Info("entry: left")
}

func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || !e.cfg.View.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// followServers keeps the upstreams as the list has them.
func (e *Entry) followServers(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := e.cfg.View.Changed()
		e.upstreams.update(e.cfg.View.Servers())
		e.reports.wake()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}
