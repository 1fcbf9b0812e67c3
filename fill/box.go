package fill

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/pace"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/told"
	"github.com/coralstair/coralstair/view"
)

const (
	headerTime = 5 * time.Second
	// pieceShare is the part of the link, in percent, that pieces may take: the events of streams are small, and wait behind
	// one part of a piece at most.
	pieceShare = 93
	// siblingsAge is how old the list of a service's boxes may be while nothing changes.
	siblingsAge = 500 * time.Millisecond
)

// Config is what a box works with.
type Config struct {
	Machine  machine.Machine
	View     *view.View
	Engine   Engine
	Origin   Origin
	Log      log.Interface
	Listener net.Listener
	// Told is the view's source where entries tell what the store holds; nil where they do not.
	Told *told.Source
}

// Box brings the server on its machine to the version that should run.
type Box struct {
	cfg    Config
	log    log.Interface
	server *http.Server
	links  *links
	giver  *uploader
	pacer  *pace.Pacer
	woken  chan struct{}
	// aimed wakes the loader when a version is aimed at.
	aimed chan struct{}

	mu      sync.Mutex
	state   State
	stateAt time.Time
	fill    *filling
	// pending is an older version whose pieces are all staged and whose turn to load has not come.
	pending *filling
	// closing says that the server is about to load and takes nothing new, since closedAt.
	closing  bool
	closedAt time.Time
	// closes is when the server's turn to load comes.
	closes time.Time
	known  known
	// relist says that what the server holds is to be looked at again.
	relist      bool
	newestAsked time.Time
}

// New returns a box that does not run yet.
func New(cfg Config) *Box {
	b := &Box{
		cfg: cfg, log: cfg.Log, woken: make(chan struct{}, 1), aimed: make(chan struct{}, 1),
		pacer: pace.New(int64(cfg.Machine.LinkRate)).WithShare(pieceShare),
	}
	b.links = newLinks(b)
	b.giver = newUploader(b)
	b.server = &http.Server{Handler: http.HandlerFunc(b.links.accept), ReadHeaderTimeout: headerTime}
	return b
}

// Parts returns what runs in the box.
func (b *Box) Parts() []supervise.Part {
	return []supervise.Part{
		{Name: "links", Run: b.serveLinks},
		{Name: "reporter", Run: b.report},
		{Name: "giver", Run: b.giver.serve},
		{Name: "filler", Run: b.follow},
		{Name: "loader", Run: b.followTurns},
	}
}

// serveLinks takes links until ctx ends.
func (b *Box) serveLinks(ctx context.Context) error {
	return supervise.ServeHTTP(ctx, b.server, b.cfg.Listener)
}

// wake has the box look for what to do next.
func (b *Box) wake() {
	select {
	case b.woken <- struct{}{}:
	default:
	}
}

// model returns the model that the server on this machine should run; ok is false while that is not known.
func (b *Box) model() (name string, ok bool) {
	cfg := b.cfg.View.Config()
	if cfg == nil {
		return "", false
	}
	service := cfg.Service(b.cfg.Machine.Service)
	if service == nil || service.Engine == nil {
		return "", false
	}
	model, ok := service.Engine.Model()
	return model.Name, ok
}

// origin returns the service that hands out weights; nil while none is known.
func (b *Box) origin() *contract.Service {
	cfg := b.cfg.View.Config()
	if cfg == nil {
		return nil
	}
	for _, service := range cfg.Origins() {
		return service
	}
	return nil
}

// serverID returns the id under which the server on this machine is listed now; empty while it is not.
func (b *Box) serverID() string {
	for _, server := range b.cfg.View.Servers() {
		if server.Address == b.cfg.Machine.UpstreamAt && server.Missing.IsZero() {
			return server.ID
		}
	}
	return ""
}

// heardOfServer reports whether the server on this machine has told its state yet.
func (b *Box) heardOfServer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stateAt.IsZero()
}

// runs returns the version of a model that the server was last seen to run.
func (b *Box) runs(model string) contract.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Loaded[model]
}

// self returns this box as a member of the fleet; its host is its id.
func (b *Box) self() swarm.Member {
	return swarm.Member{ID: b.cfg.Machine.Address, Site: b.cfg.Machine.Site}
}

// sitePeers returns the boxes of this site among some.
func (b *Box) sitePeers(of []swarm.Member) []swarm.Member {
	return slices.DeleteFunc(slices.Clone(of), func(m swarm.Member) bool { return m.Site != b.cfg.Machine.Site })
}

// siblings returns the boxes of the servers of this service, this one among them; the list is not to be changed. It is made anew
// when any belief changes, and now and then, since servers that are missing count for a while only.
func (b *Box) siblings() []swarm.Member {
	changed := b.cfg.View.Changed()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known.changed != changed || clock.Since(b.known.at) > siblingsAge {
		b.known = known{siblings: b.listSiblings(), changed: changed, at: clock.Now()}
	}
	return b.known.siblings
}

// known are the siblings of a box, and when they were listed.
type known struct {
	siblings []swarm.Member
	changed  <-chan struct{}
	at       time.Time
}

// listSiblings lists them. Those of servers that leave take no part: a box that ended with its server after it was to draw pieces
// held a whole version up.
func (b *Box) listSiblings() []swarm.Member {
	self := b.self()
	members := []swarm.Member{self}
	seen := map[string]bool{self.ID: true}
	for _, server := range b.cfg.View.Servers() {
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil || server.Service != b.cfg.Machine.Service || server.Leaving || seen[host] {
			continue
		}
		seen[host] = true
		members = append(members, swarm.Member{ID: host, Site: server.Site})
	}
	return members
}

// current returns the version on its way; nil when there is none.
func (b *Box) current() *filling {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fill
}

// filling returns the version whose manifest has a key: the one on its way, or an older one that waits for its turn and is
// still given to others; nil when it is neither.
func (b *Box) filling(key uint64) *filling {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range []*filling{b.fill, b.pending} {
		if f != nil && f.feed != nil && f.key == key {
			return f
		}
	}
	return nil
}
