package forward

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/retry"
	"github.com/coralstair/coralstair/stricthttp"
	"github.com/coralstair/coralstair/supervise"
)

const (
	// callerIdleTimeout is how long callers' connections may be idle unless the configuration says otherwise.
	callerIdleTimeout = 60 * time.Second
	// readyTimeout bounds writing the response to a readiness check.
	readyTimeout = 5 * time.Second
	// Percentages of what all clients of an entry may hold; the rest is for those that read its metrics.
	callersPercent = 75
	linksPercent   = 15
	readyPercent   = 5
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	Machine machine.Machine
	View    *discovery.View
	Wire    Wire
	Log     log.Interface
	// Callers and Ready accept the connections of callers and of the balancer's readiness checks.
	Callers net.Listener
	Ready   net.Listener
	// Links accepts links of other entries that receive the server list from this one; PeerSource is the list source if one entry of a
	// site relays the list to the others. Both are nil if each entry reads the list itself.
	Links      net.Listener
	PeerSource *peersource.EntrySource
	// Quarantine records requests under which servers exited; if nil, the entry creates one for itself.
	Quarantine *quarantine.Quarantine
	// Checks records violated invariants; nil only counts and logs them.
	Checks *invariant.Recorder
}

// Entry accepts callers' requests and sends them to upstreams directly.
type Entry struct {
	cfg       Config
	log       log.Interface
	transport *stricthttp.Transport
	// oneShotTransport keeps no idle connections.
	oneShotTransport *stricthttp.Transport
	upstreams        upstreams
	budget           *retry.Budget
	admission        admission.Services
	rooms            admission.Rooms
	retryDetector    admission.RetryDetector
	peers            *peerNotifier
	boxLinks         *boxLinks
	reader           *listReader
	callers          *http.Server
	ready            *http.Server
	callersListener  *connlimit.Listener
	readyListener    *connlimit.Listener
	conns            callerConns
	// responses bounds the complete responses and long events held in memory.
	responses holdings
	// changedBounds are the bounds that were set while the entry runs; nil while those of its start are in force.
	changedBounds atomic.Pointer[machine.Bounds]
	calls         calls
	// closesIdleAt is when a leaving entry closes idle connections at the latest; it is set before leaving.
	closesIdleAt atomic.Pointer[time.Time]
	leaving      atomic.Bool
	startedAt    time.Time
}

// New returns an entry, which serves once its Components run.
func New(cfg Config) *Entry {
	bounds := cfg.Machine.Bounds
	e := &Entry{
		cfg: cfg, log: cfg.Log, transport: newTransport(), oneShotTransport: newTransport(),
		budget: retry.NewBudget(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow), startedAt: clock.Now(),
		responses: newHoldings(cfg.Machine.Memory),
	}
	e.budget.StartedAt(e.startedAt)
	if e.cfg.Quarantine == nil {
		e.cfg.Quarantine = quarantine.New(quarantine.Options{Entry: cfg.Machine.ID, Log: cfg.Log})
	}
	e.oneShotTransport.DisableKeepAlives = true
	e.upstreams.subsetWeights, e.upstreams.limitSharers, e.upstreams.coldStart = e.subsetWeights, e.limitSharers, e.coldStart
	e.upstreams.returnedAt = func(site string) time.Time {
		_, returnedAt := e.cfg.View.Evacuation(site)
		return returnedAt
	}
	e.boxLinks = newBoxLinks(e)
	e.cfg.Quarantine.OnChange(func(added bool) {
		if added {
			e.cancelQuarantined()
		}
		e.boxLinks.wake()
	})
	e.reader = newListReader(e)
	e.peers = newPeerNotifier(e)
	e.callers = &http.Server{
		Handler: countPanics(e), ErrorLog: e.errorLog("entry: the callers' server says"), ConnState: e.conns.setState, ConnContext: limitBuffer,
	}
	e.ready = &http.Server{
		Handler: countPanics(http.HandlerFunc(e.serveReady)), WriteTimeout: readyTimeout,
		ErrorLog: e.errorLog("entry: the balancer's server says"),
	}
	e.callersListener = e.limit("callers", cfg.Callers, e.callers, callersPercent)
	e.readyListener = e.limit("ready", cfg.Ready, e.ready, readyPercent)
	return e
}

// Components returns the services of the entry for its supervisor.
func (e *Entry) Components() []supervise.Component {
	components := []supervise.Component{
		{Name: "callers", Run: func(ctx context.Context) error { return serve(ctx, e.callers, e.callersListener) }},
		{Name: "ready", Run: func(ctx context.Context) error { return serve(ctx, e.ready, e.readyListener) }},
		{Name: "upstreams", Run: e.followServers},
		{Name: "versions", Run: e.followVersions},
		{Name: "reports", Run: e.boxLinks.serve},
		{Name: "ways", Run: e.boxLinks.measureRTTs},
		{Name: "quarantine", Run: e.cfg.Quarantine.ServeReads},
		{Name: "quarantine writes", Run: e.cfg.Quarantine.ServeWrites},
	}
	if e.cfg.PeerSource != nil && e.cfg.Links != nil {
		components = append(components,
			supervise.Component{Name: "links", Run: e.reader.serveLinks}, supervise.Component{Name: "list", Run: e.reader.serve},
			supervise.Component{Name: "siblings", Run: e.peers.serve},
		)
	}
	return components
}

// limit makes a server keep to a percentage of what the clients of the entry may hold, and to the limits of the configuration in force.
func (e *Entry) limit(name string, listener net.Listener, server *http.Server, percent int64) *connlimit.Listener {
	limited := connlimit.NewListener(listener, connlimit.Options{
		Name: name, Log: e.log, Request: e.requestLimits,
		Limits: connlimit.NewBudget(e.cfg.Machine.Memory, e.cfg.Machine.Descriptors).Share(percent),
	})
	limited.Apply(server)
	return limited
}

// requestLimits returns the limits of the configuration on requests.
func (e *Entry) requestLimits() connlimit.RequestLimits {
	limits := connlimit.RequestLimits{IdleTime: callerIdleTimeout}
	if cfg := e.cfg.View.Config(); cfg != nil {
		limits.HeaderBytes, limits.HeaderTime = cfg.Limits.HeaderBytes, cfg.Limits.HeaderTime
		limits.IdleTime = cmp.Or(cfg.Limits.IdleTime, callerIdleTimeout)
	}
	return limits
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

// followServers applies the server list to the upstreams whenever it changes, until ctx ends.
func (e *Entry) followServers(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := e.cfg.View.Changed()
		e.upstreams.update(e.cfg.View.Servers())
		e.boxLinks.wake()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// SetBounds changes the bounds of a running entry, but for the contact time and the retry window.
func (e *Entry) SetBounds(bounds machine.Bounds) {
	bounds.Contact, bounds.RetryWindow = e.cfg.Machine.Bounds.Contact, e.cfg.Machine.Bounds.RetryWindow
	e.changedBounds.Store(&bounds)
	e.budget.SetAllowance(bounds.RetryRatio, bounds.RetrySlack)
}

// bounds returns the bounds in force.
func (e *Entry) bounds() *machine.Bounds {
	if changed := e.changedBounds.Load(); changed != nil {
		return changed
	}
	return &e.cfg.Machine.Bounds
}
