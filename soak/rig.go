package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/coralstair/coralstair/platform/standin"
)

// What the rig is made of, by name.
const (
	model        = "weights"
	modelService = "drafts"
	plainService = "desk"
	originName   = "ledger"
	host         = "soak.example"
	goodKey      = "key-of-a-team"
	oldKey       = "key-that-goes"
	team         = "team"

	streamPath = "/draft/"
	oncePath   = "/confirm/"
	safePath   = "/look/"
)

// Ports, alike on all machines.
const (
	callersPort = 8005
	readyPort   = 8002
	linkPort    = 7700
	boxLinkPort = 7701
	serverPort  = 9001
	hopPort     = 9000
)

// bounds are those of the rules, short enough for a run of some seconds.
var bounds = standin.Bounds{
	Contact: 1500 * time.Millisecond, Apply: 2 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second,
	Version: 6 * time.Second, Window: 10 * time.Second, Ratio: 0.2, Slack: 40,
}

var sites = []string{"north", "south"}

// rig is the running system: daemons as processes, stand-ins of the platform in this one, and the ways between them.
type rig struct {
	opts    Options
	store   *standin.Store
	origin  *standin.Origin
	runs    *standin.Runs
	engines []*standin.Server
	plain   []*standin.Server
	entries []*process
	boxes   []*process
	// toStore are the daemons' own ways to the store, toServer the entries' ways to the servers, toBox those to the boxes.
	toStore  []*hop
	toServer []*hop
	toBox    []*hop
	toOrigin *hop
	closers  []func()

	mu       sync.Mutex
	revision int64
	version  int64
	declared []declaration
}

// declaration is a configuration or a version, and when the store took it.
type declaration struct {
	revision int64
	version  int64
	sent     time.Time
	acked    time.Time
}

func newRig(opts Options) (*rig, error) {
	r := &rig{opts: opts, store: standin.NewStore(), origin: &standin.Origin{}, runs: &standin.Runs{}}
	err := errors.Join(
		r.serve(r.ip(9, 1)+":8000", r.store),
		r.serve(r.ip(9, 2)+":8006", r.origin),
		r.hop(&r.toOrigin, "origin", r.ip(9, 3)+":8006", r.ip(9, 2)+":8006"),
		r.addServers(),
		r.addDaemons(),
	)
	if err != nil {
		r.close()
		return nil, err
	}
	r.nameVersion()
	r.declare()
	return r, nil
}

// ip returns an address of this run: runs with other seeds have others.
func (r *rig) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+int(r.opts.Seed%200), group, n)
}

// serve runs a stand-in.
func (r *rig) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	r.closers = append(r.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (r *rig) hop(to **hop, name, from, at string) error {
	h, err := newHop(name, from, at)
	if err != nil {
		return err
	}
	*to = h
	r.closers = append(r.closers, h.close)
	return nil
}

// addServers starts the model servers and the plain ones.
func (r *rig) addServers() error {
	var errs []error
	for i := range r.opts.Boxes + r.opts.Plain {
		group, n, service, runs := 2, i+1, modelService, int64(1)
		if i >= r.opts.Boxes {
			group, n, service, runs = 3, i-r.opts.Boxes+1, plainService, 0
		}
		ip := r.ip(group, n)
		s := &standin.Server{
			Address: fmt.Sprintf("%s:%d", ip, hopPort), Listen: fmt.Sprintf("%s:%d", ip, serverPort),
			Service: service, Zone: sites[i%len(sites)], Slots: 16, Store: r.store, Runs: r.runs,
		}
		if service == modelService {
			s.Model = model
			r.engines = append(r.engines, s)
		} else {
			r.plain = append(r.plain, s)
		}
		var h *hop
		errs = append(errs, r.hop(&h, "server-"+ip, s.Address, s.Listen), s.Start(runs))
		r.toServer = append(r.toServer, h)
		r.closers = append(r.closers, s.Crash)
	}
	return errors.Join(errs...)
}

// addDaemons starts an entry on each entry machine and a box beside each model server.
func (r *rig) addDaemons() error {
	var errs []error
	for i := range r.opts.Entries {
		ip := r.ip(1, i+1)
		errs = append(errs, r.addDaemon("entry", i, standin.Settings{
			IP: ip, Link: linkPort, Callers: fmt.Sprintf("%s:%d", ip, callersPort), Ready: fmt.Sprintf("%s:%d", ip, readyPort),
		}, &r.entries))
	}
	for i, server := range r.engines {
		ip := r.ip(2, i+1)
		errs = append(errs, r.addDaemon("box", i, standin.Settings{
			IP: ip, Link: boxLinkPort, App: server.Address, Service: modelService,
		}, &r.boxes))
		var h *hop
		errs = append(errs, r.hop(&h, "box-"+ip, fmt.Sprintf("%s:%d", ip, linkPort), fmt.Sprintf("%s:%d", ip, boxLinkPort)))
		r.toBox = append(r.toBox, h)
	}
	return errors.Join(errs...)
}

func (r *rig) addDaemon(role string, i int, settings standin.Settings, to *[]*process) error {
	name := fmt.Sprintf("%s-%d", role, i+1)
	storeAt := fmt.Sprintf("%s:8000", r.ip(4, len(r.toStore)+1))
	var h *hop
	if err := r.hop(&h, "store-"+name, storeAt, r.ip(9, 1)+":8000"); err != nil {
		return err
	}
	r.toStore = append(r.toStore, h)
	settings.ID, settings.Zone, settings.Zones, settings.Store, settings.Bounds = name, sites[i%len(sites)], sites, storeAt, bounds
	path := filepath.Join(r.opts.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings.String()), 0o600); err != nil {
		return err
	}
	p := &process{name: name, args: []string{r.opts.Daemon, role}, env: []string{standin.Variable + "=" + path}, log: r.opts.Dir}
	*to = append(*to, p)
	r.closers = append(r.closers, p.kill)
	return p.start()
}

// daemons returns all processes, in the order of their ways to the store.
func (r *rig) daemons() []*process {
	return append(append([]*process(nil), r.entries...), r.boxes...)
}

// servers returns all servers, in the order of the ways to them.
func (r *rig) servers() []*standin.Server {
	return append(append([]*standin.Server(nil), r.engines...), r.plain...)
}

// entryAt returns where callers reach an entry.
func (r *rig) entryAt(i int) string { return fmt.Sprintf("%s:%d", r.ip(1, i+1), callersPort) }

// readyAt returns where the balancer asks an entry.
func (r *rig) readyAt(i int) string { return fmt.Sprintf("%s:%d", r.ip(1, i+1), readyPort) }

// revisionPath returns the path of the route that only one revision has.
func revisionPath(revision int64) string { return fmt.Sprintf("/revision-%d/", revision) }

// declare has the store take the next configuration: with a route of its own, and from the second on without a key.
func (r *rig) declare() declaration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	keys := []string{goodKey}
	if r.revision == 1 {
		keys = append(keys, oldKey)
	}
	route := func(name, path, kind, service string) standin.Route {
		return standin.Route{
			Name: name, Host: host, PathPrefix: path, Kind: kind, TimeoutMs: 4000, GoalMs: 500, Priority: 1, Service: service,
			MaxAttempts: 2,
		}
	}
	stream := route("draft", streamPath, standin.KindStream, modelService)
	stream.Resumable, stream.GapGoalMs = true, 400
	own := route("revision", revisionPath(r.revision), standin.KindSafe, plainService)
	own.Public = true
	cfg := standin.Config{
		Version: r.revision,
		Routes: []standin.Route{
			stream, route("confirm", oncePath, standin.KindUnsafe, plainService), route("look", safePath, standin.KindSafe, plainService), own,
		},
		Services: []standin.Service{
			{Name: modelService, HealthPath: "/health", MaxConns: 200, Engine: figures()},
			{Name: plainService, HealthPath: "/health", MaxConns: 100},
			{Name: originName, MaxConns: 48, Origin: r.ip(9, 3) + ":8006", LinkMbps: 50},
		},
		Tenants: []standin.Tenant{{Name: team, APIKeys: keys}},
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	d := declaration{revision: r.revision, sent: time.Now()}
	r.store.Put(standin.TableDeclared, standin.KeyConfig, cfg)
	d.acked = time.Now()
	r.declared = append(r.declared, d)
	return d
}

func figures() *standin.Figure {
	return &standin.Figure{
		Slots: 16, Stride: 1, Chunk: 2048, StepMs: 3, ReadPerS: 50000, Chunks: standin.Pieces, ChunkBytes: standin.PieceBytes,
		Models: []standin.FigureModel{{Name: model, WarmS: 0.15}}, Usual: standin.Usual{Prompt: 200, Answer: 50},
	}
}

// nameVersion has the store take the next version; the first is the one that servers start with and is not named.
func (r *rig) nameVersion() declaration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.origin.Name(r.version)
	d := declaration{version: r.version, sent: time.Now()}
	if r.version > 1 {
		r.store.Put(standin.TableDeclared, standin.KeyVersion+model, standin.Target{Model: model, Version: r.version})
	}
	d.acked = time.Now()
	r.declared = append(r.declared, d)
	return d
}

// current returns the newest revision and version.
func (r *rig) current() (revision, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.version
}

// close ends all that the rig started.
func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
