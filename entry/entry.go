package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/admit"
	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/follower"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/operate"

	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/route"
	"github.com/coralstair/coralstair/supervise"
)

const (
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the longest accepted header; up to maxRawHeaderBytes it is refused with a problem, beyond that by the HTTP
	// server itself.
	maxHeaderBytes    = 64 << 10
	maxRawHeaderBytes = 512 << 10
	dispatchInterval  = 50 * time.Millisecond
	// Limits on an HTTP/2 connection.
	maxStreams         = 32
	maxUnreadBodyBytes = 64 << 10
)

// Entry is the daemon of an entry.
type Entry struct {
	cfg        Config
	log        *log.Entry
	follower   *follower.Follower
	members    *membership.Watcher
	boxes      *boxes
	executor   *operate.Executor
	claims     *claim.Claims
	health     route.Health
	budget     route.Budget
	quarantine *quarantine.Quarantine
	leaving    atomic.Bool
	active     sync.WaitGroup

	mu          sync.Mutex
	controllers map[string]*admit.Controller
}

// New returns an entry; Serve starts it.
func New(cfg Config) *Entry {
	cfg = cfg.withDefaults()
	e := &Entry{
		cfg:         cfg,
		log:         log.WithFields(log.Fields{"entry": cfg.ID, "site": cfg.Site}),
		follower:    follower.New(cfg.Ledger, cfg.Fleet, follower.Options{AlwaysPoll: true, Checks: cfg.Checks}),
		members:     membership.New(cfg.List, cfg.Fleet, cfg.ListInterval),
		claims:      &claim.Claims{Table: cfg.Claims},
		controllers: make(map[string]*admit.Controller),
		quarantine:  quarantine.New(quarantine.Options{Entry: cfg.ID}),
	}
	e.boxes = newBoxes(e)
	e.executor = &operate.Executor{Fleet: cfg.Fleet, Ledger: cfg.Ledger, Reporter: e, OnAccepted: e.applyConfig}
	return e
}

// Boxes returns the latest reports of the fleet's boxes.
func (e *Entry) Boxes() []operate.BoxReport { return e.boxes.Report() }

// Handler returns the handler of the entry's port.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("POST /v1/statements", e.serveStatement)
	mux.HandleFunc("/services/{service}/{path...}", e.servePlain)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("/", e.serveUnknown)
	return e.limitHeader(mux)
}

// Leave refuses new requests and waits until those in progress are done, for the drain limit at most.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(ctx, e.cfg.DrainLimit)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
		e.log.Warn("entry: leaves with requests in progress")
	}
}

// Serve runs the entry until ctx ends, without draining; Leave comes first in a planned stop.
func (e *Entry) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler: e.Handler(), MaxHeaderBytes: maxRawHeaderBytes, Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxUnreadBodyBytes, MaxReceiveBufferPerStream: maxUnreadBodyBytes,
		},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	listener := connlimit.NewListener(e.cfg.Listener, connlimit.Options{
		Name: "entry", Log: e.log, Limits: e.cfg.Limits,
		Request: func() connlimit.RequestLimits {
			return connlimit.RequestLimits{HeaderBytes: maxRawHeaderBytes, IdleTime: idleTimeout}
		},
	})
	listener.Apply(server)
	daemon := &supervise.Daemon{
		Name: "entry", Log: e.log, Listener: listener, Server: server,
		Components: []supervise.Component{
			{Name: "follower", Run: e.follower.Serve},
			{Name: "membership", Run: e.members.Serve},
			{Name: "boxes", Run: e.boxes.Serve},
			{Name: "queues", Run: e.serveQueues},
			{Name: "spread", Run: e.serveBroadcast},
			{Name: "quarantine", Run: e.quarantine.ServeWrites},
		},
	}
	return daemon.Run(ctx)
}

// applyConfig applies a configuration that this entry has written to the ledger.
func (e *Entry) applyConfig(cfg fleet.Config) {
	e.follower.Update(cfg)
}

// controller returns the admission controller of a service and creates it if needed.
func (e *Entry) controller(service string) *admit.Controller {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.controllers[service]
	if c == nil {
		c = admit.NewController(e.cfg.Queue)
		e.controllers[service] = c
	}
	return c
}

// syncRevision records a box's revision and sends it the configuration if its revision is older.
func (e *Entry) syncRevision(conn *link.Conn, revision fleet.Revision) {
	if _, older := e.follower.ObservePeerRevision(revision); older {
		_ = conn.Send(conn.Context(), &link.Config{Config: e.follower.Config()})
	}
}

func (e *Entry) hello() *link.Hello {
	return &link.Hello{
		ID: e.cfg.ID, Role: string(membership.RoleEntry), Fleet: e.cfg.Fleet, Site: e.cfg.Site,
		Incarnation: e.cfg.Incarnation, Revision: e.follower.Config().Revision,
	}
}

// dispatch admits waiting requests of a service.
func (e *Entry) dispatch(service string) {
	e.mu.Lock()
	c := e.controllers[service]
	e.mu.Unlock()
	if c != nil {
		c.Dispatch()
	}
}

// shed refuses the waiting requests of a service that would miss their deadlines.
func (e *Entry) shed(service string) {
	e.mu.Lock()
	c := e.controllers[service]
	e.mu.Unlock()
	if c != nil {
		c.Shed()
	}
}

// limitHeader refuses requests with a header that is too long.
func (e *Entry) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.RequestURI)
		for name, values := range r.Header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		if size > maxHeaderBytes {
			p := problem.New(http.StatusRequestHeaderFieldsTooLarge, "header", "the header is too long").WithOutcome("not-run")
			e.refuse(w, p)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveQueues dispatches and sheds waiting requests periodically, in case no event does.
func (e *Entry) serveQueues(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, name := range e.follower.Config().ServiceNames() {
			e.dispatch(name)
			e.shed(name)
		}
	}
}

// serveBroadcast sends each newer configuration to all boxes as soon as it is known.
func (e *Entry) serveBroadcast(ctx context.Context) error {
	for {
		changed := e.follower.Changed()
		cfg := e.follower.Config()
		if cfg.Revision > 0 {
			e.boxes.broadcast(&link.Config{Config: cfg})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
