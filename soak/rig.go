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

	"github.com/coralstair/coralstair/lab/standin"
)

// Names and paths of the test configuration.
const (
	model        = "weights"
	modelService = "drafts"
	plainService = "desk"
	originName   = "ledger"
	host         = "soak.example"
	goodKey      = "key-of-a-team"
	oldKey       = "key-that-goes"
	unknownKey   = "unknown"
	team         = "team"

	streamPath = "/draft/"
	unsafePath = "/confirm/"
	safePath   = "/look/"
)

// teamOf holds the teams of the keys that stay valid during a run; requests with other keys may be denied.
var teamOf = map[string]string{goodKey: team, floodKey: floodTeam}

const (
	callersPort = 8005
	readyPort   = 8002
	linkPort    = 7700
	boxLinkPort = 7701
	serverPort  = 9001
	hopPort     = 9000
	storePort   = 8000
	originPort  = 8006
)

// bounds are the time bounds of the system, short enough for a run of seconds.
var bounds = standin.Bounds{
	Contact: 1500 * time.Millisecond, Apply: 2 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second,
	Version: 6 * time.Second, Evacuate: 2 * time.Second, Window: 10 * time.Second, Ratio: 0.2, Slack: 40,
}

var sites = []string{"north", "south"}

// rig is the system under test: daemons as processes, stand-ins of the platform, and proxies between them.
type rig struct {
	opts    Options
	block   int
	store   *standin.Store
	origin  *standin.Origin
	runs    *standin.Recorder
	engines []*standin.Server
	plain   []*standin.Server
	entries []*process
	boxes   []*process
	// storeHops lead from each daemon to the store, serverHops from entries to servers, boxHops from entries to boxes.
	storeHops  []*hop
	serverHops []*hop
	boxHops    []*hop
	originHop  *hop
	closers    []func()
	crashes    crashes

	mu          sync.Mutex
	startedAt   time.Time
	revision    int64
	version     int64
	storeWrites []storeWrite
	evacuations []evacuation
	// excesses holds the memory of daemons, in MB, that exceeded their limit.
	excesses map[string]int
}

func newRig(opts Options) (*rig, error) {
	r := &rig{excesses: make(map[string]int), opts: opts, store: standin.NewStore(), origin: &standin.Origin{}, runs: &standin.Recorder{}, block: int(opts.Seed % addressBlocks)}
	err := errors.Join(
		r.serveStore(),
		r.serve(hostPort(r.ip(9, 2), originPort), r.origin),
		r.addHop(&r.originHop, "origin", hostPort(r.ip(9, 3), originPort), hostPort(r.ip(9, 2), originPort)),
		r.addServers(),
		r.listUnreachable(),
		r.addDaemons(),
	)
	if err != nil {
		r.close()
		return nil, err
	}
	r.writeTarget()
	r.writeConfig()
	r.startedAt = time.Now()
	return r, nil
}

// Each run uses its own block of loopback addresses: 127.(firstAddressBlock+block).0.0/16.
const (
	addressBlocks     = 200
	firstAddressBlock = 20
)

// invalidHeadInterval is how many requests a server answers until a response with an invalid head.
const invalidHeadInterval = 5

// serveStore starts the store in the first free address block, beginning with the seed's own.
func (r *rig) serveStore() error {
	var err error
	for range addressBlocks {
		if err = r.serve(hostPort(r.ip(9, 1), storePort), r.store); err == nil {
			return nil
		}
		r.block = (r.block + 1) % addressBlocks
	}
	return err
}

// ip returns a loopback address in the block of this run.
func (r *rig) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstAddressBlock+r.block, group, n)
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// serve starts an HTTP server for a stand-in.
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

func (r *rig) addHop(result **hop, name, from, to string) error {
	h, err := newHop(name, from, to)
	if err != nil {
		return err
	}
	*result = h
	r.closers = append(r.closers, h.close)
	return nil
}

// addServers starts the model servers and the plain servers.
func (r *rig) addServers() error {
	var errs []error
	for i := range r.opts.Boxes + r.opts.Plain {
		group, n, service, version := 2, i+1, modelService, int64(1)
		if i >= r.opts.Boxes {
			group, n, service, version = 3, i-r.opts.Boxes+1, plainService, 0
		}
		ip := r.ip(group, n)
		s := &standin.Server{
			Address: hostPort(ip, hopPort), Listen: hostPort(ip, serverPort),
			Service: service, Zone: sites[i%len(sites)], Slots: r.workload().slots, Store: r.store, Recorder: r.runs,
		}
		if r.opts.Sites {
			s.ColdStart = coldTime
		}
		if r.opts.Deadly+r.opts.DeadlyParts > 0 {
			r.crashOnDeadly(s)
		}
		if r.opts.InvalidHeads {
			s.SetInvalidHeads(invalidHeadInterval)
		}
		if r.opts.DeadlyParts > 0 {
			s.Unframed = unframedInterval
		}
		if service == modelService {
			s.Model = model
			r.engines = append(r.engines, s)
		} else {
			r.plain = append(r.plain, s)
		}
		var h *hop
		errs = append(errs, r.addHop(&h, "server-"+ip, hostPort(ip, hopPort), s.Listen), s.Start(version))
		r.serverHops = append(r.serverHops, h)
		r.closers = append(r.closers, s.Crash)
	}
	return errors.Join(errs...)
}

// listUnreachable adds list entries of servers that do not run and that no route uses.
func (r *rig) listUnreachable() error {
	for n := range r.opts.Unreachable {
		r.listServer(n)
	}
	return nil
}

// listServer adds a list entry of a server that does not run.
func (r *rig) listServer(n int) {
	r.store.Put(standin.TableServers, fmt.Sprintf("i-listed-%d", n), standin.Heartbeat{
		Service: "listed", Address: hostPort(r.ip(100+n/250, 1+n%250), serverPort), Zone: sites[n%len(sites)],
		Slots: r.workload().slots, State: standin.StateReady, Models: []standin.LoadedModel{}, Born: int64(n + 1),
	})
}

// addDaemons starts the entries, and a box for each model server.
func (r *rig) addDaemons() error {
	var errs []error
	for i := range r.opts.Entries {
		ip := r.ip(1, i+1)
		errs = append(errs, r.addDaemon("entry", i, standin.Settings{
			IP: ip, LinkPort: linkPort, CallerAddress: hostPort(ip, callersPort), ReadyAddress: hostPort(ip, readyPort),
		}, &r.entries))
	}
	for i, server := range r.engines {
		ip := r.ip(2, i+1)
		errs = append(errs, r.addDaemon("box", i, standin.Settings{
			IP: ip, LinkPort: boxLinkPort, UpstreamAddress: server.Address, Service: modelService,
		}, &r.boxes))
		var h *hop
		errs = append(errs, r.addHop(&h, "box-"+ip, hostPort(ip, linkPort), hostPort(ip, boxLinkPort)))
		r.boxHops = append(r.boxHops, h)
	}
	return errors.Join(errs...)
}

func (r *rig) addDaemon(role string, i int, settings standin.Settings, processes *[]*process) error {
	name := fmt.Sprintf("%s-%d", role, i+1)
	storeAt := hostPort(r.ip(4, len(r.storeHops)+1), storePort)
	var h *hop
	if err := r.addHop(&h, "store-"+name, storeAt, hostPort(r.ip(9, 1), storePort)); err != nil {
		return err
	}
	r.storeHops = append(r.storeHops, h)
	settings.ID, settings.Zone, settings.Zones, settings.Store, settings.Bounds = name, sites[i%len(sites)], sites, storeAt, bounds
	settings.Bounds.Grace = r.workload().grace
	settings = r.withCrowdLimits(settings)
	path := filepath.Join(r.opts.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings.String()), 0o600); err != nil {
		return err
	}
	p := &process{name: name, args: []string{r.opts.Daemon, role}, env: []string{standin.SettingsVariable + "=" + path}, log: r.opts.Dir}
	*processes = append(*processes, p)
	r.closers = append(r.closers, p.kill)
	return p.start()
}

// daemons returns all processes in the order of storeHops.
func (r *rig) daemons() []*process {
	return append(append([]*process(nil), r.entries...), r.boxes...)
}

// servers returns all servers in the order of serverHops.
func (r *rig) servers() []*standin.Server {
	return append(append([]*standin.Server(nil), r.engines...), r.plain...)
}

// entryAddr returns the address for callers.
func (r *rig) entryAddr(i int) string { return hostPort(r.ip(1, i+1), callersPort) }

// readyAddr returns the address of the readiness check.
func (r *rig) readyAddr(i int) string { return hostPort(r.ip(1, i+1), readyPort) }

// close stops everything the rig started, in reverse order.
func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
