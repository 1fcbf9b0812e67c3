package fill

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// linksPercent of what clients may hold is for links.
	linksPercent = 90
	// pieceLinkPercent is the percentage of the link that pieces may use while the server has requests; the events of
	// streams wait behind at most one burst of a piece.
	pieceLinkPercent = 93
	// siblingsMaxAge bounds the age of the cached siblings while the view is unchanged.
	siblingsMaxAge = 500 * time.Millisecond
)

// Config holds a box's settings and the services that it uses.
type Config struct {
	Machine  machine.Machine
	View     *discovery.View
	Engine   Engine
	Origin   Origin
	Log      log.Interface
	Listener net.Listener
	// PeerSource is the view's source fed by entries; nil where the store is read directly.
	PeerSource *peersource.Source
}

// Box brings the server on its machine to the version that should run.
type Box struct {
	cfg      Config
	log      log.Interface
	server   *http.Server
	listener *connlimit.Listener
	links    *links
	uploader *uploader
	pacer    *bandwidth.Pacer
	wakeup   chan struct{}
	// targetChanged wakes the loader.
	targetChanged chan struct{}
	// piecesWritten counts the pieces written to the server.
	piecesWritten atomic.Uint64

	mu      sync.Mutex
	state   State
	stateAt time.Time
	// restarts counts the restarts of the server that the box knows of.
	restarts int
	active   *update
	// pending is an older version, all staged, that has not been loaded yet.
	pending *update
	staging staging
	// draining says that the server is about to load and takes no new requests, since drainingSince.
	draining      bool
	drainingSince time.Time
	// loadAt is when the server's turn to load comes; zero while none is set.
	loadAt       time.Time
	siblingCache siblingCache
	// outdatedID is the listed id that the server said is not its own: it has restarted and is not listed anew yet.
	outdatedID string
	// needsRelist says that the pieces staged at the server must be listed again.
	needsRelist   bool
	newestAskedAt time.Time
}

// New returns a box that is not running yet.
func New(cfg Config) *Box {
	b := &Box{
		cfg: cfg, log: cfg.Log, wakeup: make(chan struct{}, 1), targetChanged: make(chan struct{}, 1), staging: newStaging(),
		pacer: bandwidth.New(int64(cfg.Machine.LinkRate)).WithShare(pieceLinkPercent),
	}
	b.links = newLinks(b)
	b.uploader = newUploader(b)
	b.server = &http.Server{Handler: http.HandlerFunc(b.links.accept)}
	b.listener = connlimit.NewListener(cfg.Listener, connlimit.Options{
		Name: "links", Log: cfg.Log, Limits: connlimit.NewBudget(cfg.Machine.Memory, cfg.Machine.Descriptors).Share(linksPercent),
	})
	b.listener.Apply(b.server)
	return b
}

// Components returns the services that make up the box.
func (b *Box) Components() []supervise.Component {
	return []supervise.Component{
		{Name: "links", Run: b.serveLinks},
		{Name: "reporter", Run: b.runReports},
		{Name: "evacuations", Run: b.tellEvacuations},
		{Name: "giver", Run: b.uploader.serve},
		{Name: "filler", Run: b.runSteps},
		{Name: "loader", Run: b.runLoads},
	}
}

// serveLinks accepts links until ctx ends.
func (b *Box) serveLinks(ctx context.Context) error {
	return supervise.ServeHTTP(ctx, b.server, b.listener)
}

// wake makes the step loop run now.
func (b *Box) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// model returns the model that the server on this machine should run; ok is false while that is unknown.
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

// origin returns the service that serves weights; nil while none is known.
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

// serverID returns the id under which the server on this machine is listed; empty while it is not listed.
func (b *Box) serverID() string {
	for _, server := range b.cfg.View.Servers() {
		if server.Address == b.cfg.Machine.UpstreamAddress && server.MissingSince.IsZero() {
			return server.ID
		}
	}
	return ""
}

// lastServerID returns the id under which the server on this machine is or was last listed; empty while none is known.
func (b *Box) lastServerID() string {
	if id := b.serverID(); id != "" {
		return id
	}
	for _, server := range b.cfg.View.Servers() {
		if server.Address == b.cfg.Machine.UpstreamAddress {
			return server.ID
		}
	}
	return ""
}

func (b *Box) hasServerState() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stateAt.IsZero()
}

// loadedVersion returns the version of a model in the server's last known state.
func (b *Box) loadedVersion(model string) contract.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Loaded[model]
}

// self returns this box as a member of the fleet; its address is its id.
func (b *Box) self() swarm.Member {
	return swarm.Member{ID: b.cfg.Machine.Address, Site: b.cfg.Machine.Site}
}

// sitePeers returns the members that are in this site.
func (b *Box) sitePeers(members []swarm.Member) []swarm.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m swarm.Member) bool { return m.Site != b.cfg.Machine.Site })
}

// siblings returns the boxes of this service's servers, including this box; callers must not change the list. It is rebuilt
// when the view changes, and periodically since missing servers count only for a limited time.
func (b *Box) siblings() []swarm.Member {
	changed := b.cfg.View.Changed()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.siblingCache.changed != changed || clock.Since(b.siblingCache.listedAt) > siblingsMaxAge {
		b.siblingCache = siblingCache{siblings: b.listSiblings(), changed: changed, listedAt: clock.Now()}
	}
	return b.siblingCache.siblings
}

// siblingCache is the list of a box's siblings and when it was made.
type siblingCache struct {
	siblings []swarm.Member
	changed  <-chan struct{}
	listedAt time.Time
}

// listSiblings omits the boxes of leaving servers: pieces assigned to one that stops would delay the whole version.
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

// current returns the active update; nil when there is none.
func (b *Box) current() *update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active
}

// updateByKey returns the active or pending update whose manifest has a key; nil when neither has.
func (b *Box) updateByKey(key uint64) *update {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range []*update{b.active, b.pending} {
		if u != nil && u.feed != nil && u.key == key {
			return u
		}
	}
	return nil
}
