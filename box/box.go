package box

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/follower"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/permit"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/transfer"
	"github.com/coralstair/coralstair/upstream"
	"github.com/coralstair/coralstair/weights"
)

const leaveGracePeriod = 200 * time.Millisecond

// Box is the daemon beside one upstream.
type Box struct {
	incarnations upstreamIncarnations
	backoff      backoff
	cfg          Config
	log          *log.Entry
	gate         Gate
	store        *weights.Store
	pacer        *bandwidth.Pacer
	follower     *follower.Follower
	members      *membership.Watcher
	transfer     *transfer.Transfer
	loader       *loader
	peers        *peers
	leaving      atomic.Bool
	startedAt    time.Time

	mu       sync.Mutex
	sessions map[*session]bool
}

// New returns a box that is not running yet.
func New(cfg Config) *Box {
	cfg = cfg.withDefaults()
	b := &Box{
		cfg:       cfg,
		log:       log.WithFields(log.Fields{"box": cfg.ID, "site": cfg.Site}),
		store:     weights.NewStore(cfg.WeightsLimit),
		pacer:     cfg.Pacer,
		follower:  follower.New(cfg.Ledger, cfg.Fleet, follower.Options{Checks: cfg.Checks}),
		members:   membership.New(cfg.List, cfg.Fleet, cfg.ListInterval),
		sessions:  make(map[*session]bool),
		startedAt: time.Now(),
	}
	holder := cfg.ID + "/" + cfg.Incarnation
	b.transfer = transfer.New(transfer.Config{
		Params: cfg.Params, Store: b.store, Origin: cfg.Origin,
		Permits: &permit.Downloads{Table: cfg.Table, Holder: holder},
	})
	b.loader = &loader{
		box:    b,
		client: &upstream.Client{URL: cfg.UpstreamURL, HTTP: cfg.UpstreamClient},
		drains: &permit.Drains{Table: cfg.Table, Fleet: cfg.Fleet, Holder: holder},
	}
	b.peers = newPeers(b)
	return b
}

// Handler returns the handler of the box's port.
func (b *Box) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, b.serveLink)
	mux.HandleFunc("GET "+pathWeights+"{digest}", b.serveWeights)
	mux.HandleFunc("GET /metrics", b.serveMetrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", b.serveReady)
	return mux
}

// Heartbeat returns the box's state as sent to entries.
func (b *Box) Heartbeat() *link.Heartbeat {
	served, open := b.gate.State()
	heartbeat := &link.Heartbeat{
		Revision: b.follower.Config().Revision,
		Leaving:  b.leaving.Load(),
		Load:     b.gate.InFlight(),
		Slots:    b.cfg.Slots,
		Entries:  b.entryCount(),
		Resumes:  b.cfg.ResumesStreams,
		Service:  link.ServiceState{Service: b.cfg.Service, State: string(b.loader.phase())},
		Progress: b.transfer.Progress(),
	}
	heartbeat.Stopped = b.follower.Config().Stopped[b.cfg.ID]
	if open && !b.backoff.active(time.Now()) {
		heartbeat.Service.Open = true
		heartbeat.Service.Version = served.Version
		heartbeat.Service.Digest = served.Digest
	}
	if version, ok := b.follower.Config().Declared(b.cfg.Service); ok {
		heartbeat.Progress.Version = version.Name
	}
	return heartbeat
}

// Leave announces to entries that the box is leaving, refuses new requests, and waits until those in progress are done or
// the drain limit has passed.
func (b *Box) Leave(ctx context.Context) {
	b.leaving.Store(true)
	b.gate.Close("the box is leaving")
	b.notifySessions()
	ctx, cancel := context.WithTimeout(ctx, b.cfg.DrainLimit)
	defer cancel()
	select {
	case <-b.gate.Idle():
	case <-ctx.Done():
		b.log.WithField("requests", b.gate.InFlight()).Warn("box: leaves with requests in progress")
	}
	select {
	case <-time.After(leaveGracePeriod):
	case <-ctx.Done():
	}
}

// Serve runs the box until ctx ends, without draining; a planned stop calls Leave first.
func (b *Box) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, b.closeSessions)
	defer stop()
	server := &http.Server{Handler: b.Handler()}
	listener := connlimit.NewListener(b.cfg.Listener, connlimit.Options{Name: "box", Log: b.log, Limits: b.cfg.Limits})
	listener.Apply(server)
	daemon := &supervise.Daemon{
		Name: "box", Log: b.log, Listener: listener, Server: server,
		Components: []supervise.Component{
			{Name: "follower", Run: b.follower.Serve},
			{Name: "membership", Run: b.members.Serve},
			{Name: "transfer", Run: b.transfer.Serve},
			{Name: "loader", Run: b.loader.Serve},
			{Name: "peers", Run: b.peers.Serve},
		},
	}
	return daemon.Run(ctx)
}

// Transfer returns the box's transfer of weights.
func (b *Box) Transfer() *transfer.Transfer { return b.transfer }

// listTimeout is how long a box waits for the list of live boxes before it assumes that it is the only one of its service:
// assuming so earlier, it would download from the origin what its neighbours hold.
const listTimeout = swarm.DefaultRankDelay

// swarmMembers returns the live boxes of this box's service; none while the list has not been read.
func (b *Box) swarmMembers() []swarm.Member {
	if !b.members.Synced() && time.Since(b.startedAt) < listTimeout {
		return nil
	}
	stopped := b.follower.Config().Stopped
	var members []swarm.Member
	self := false
	for _, member := range b.members.Boxes() {
		if member.Service != b.cfg.Service || stopped[member.ID] {
			continue
		}
		self = self || member.ID == b.cfg.ID
		members = append(members, swarm.Member{ID: member.ID, Site: member.Site})
	}
	if !self {
		members = append(members, b.cfg.Params.Self)
	}
	return members
}
