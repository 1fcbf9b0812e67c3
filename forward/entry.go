package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
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
	// enoughShare is the part of a service's servers, one in so many, that has to be back before callers are.
	enoughShare = 4
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
	rate      rate
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

// soonest returns the least wait that is predicted at the servers of a service; ok is false when none takes requests.
func (e *Entry) soonest(service *contract.Service, now time.Time) (wait time.Duration, ok bool) {
	for _, up := range e.upstreams.of(service.Name) {
		up.mu.Lock()
		if up.version("", now) != 0 && !up.server.Leaving && !up.closing(now) {
			first := engine.First(service.Engine, up.load(service.Engine, now), service.Engine.UsualPrompt)
			if !ok || first < wait {
				wait, ok = first, true
			}
		}
		up.mu.Unlock()
	}
	return wait, ok
}

// comeBack says when a request is likely to be served in time: when what waits at the best server has been read, or when
// the servers that load now are back. Callers are spread over some time more, since they would all meet again.
func (e *Entry) comeBack(service *contract.Service, route *contract.Route, now time.Time) time.Duration {
	if service.Engine == nil {
		return plainComeBack
	}
	after, known := e.readyIn(service.Name, now)
	if wait, ok := e.soonest(service, now); ok {
		after = max(wait-route.Goal, 0)
	} else if !known {
		after = loadComeBack
	}
	return after + comeBack + rand.N(comeBackSpread)
}

// readyIn returns how soon enough servers of a service are likely to run what they should, by what their boxes report; known
// is false when none tells.
func (e *Entry) readyIn(service string, now time.Time) (in time.Duration, known bool) {
	var times []time.Duration
	for _, up := range e.upstreams.of(service) {
		up.mu.Lock()
		if age := now.Sub(up.reportAt); age < reportLife && up.report.Ready > 0 {
			times = append(times, max(up.report.Ready-age, 0))
		}
		up.mu.Unlock()
	}
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/enoughShare], true
}
