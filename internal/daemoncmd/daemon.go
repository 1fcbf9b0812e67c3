package daemoncmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/forward"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/supervise"
)

// heapPercent of the machine's memory is the target of the garbage collector: what it does not see takes up the rest, such as the program
// and bytes in the kernel.
const heapPercent = 65

// peerCoalesceDelay is the longest delay before changes relayed by entries take effect.
const peerCoalesceDelay = 50 * time.Millisecond

// run runs one daemon until it is stopped. SIGHUP checks the settings file again, SIGTERM or SIGINT starts a planned
// stop, and a second one stops the daemon at once.
func run(ctx context.Context, r role, path string, logger log.Interface) error {
	started := time.Now()
	m, err := platform.LoadMachine(path)
	if err != nil {
		return err
	}
	if m.Memory > 0 {
		debug.SetMemoryLimit(m.Memory * heapPercent / 100)
	}
	logger = logger.WithField("node", m.ID)
	if m.UpstreamAddress != "" {
		logger = logger.WithField("upstream", m.UpstreamAddress)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	store := platform.NewStore(m.StoreAddress, newClient())
	v, src := newView(r, m, store, logger)
	src.store = store
	d, err := r.build(m, v, src, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		handleSignals(ctx, signals, reloader{path: path, log: logger, view: v, daemon: d, running: m}, d)
		cancel()
	}()
	components := append([]supervise.Component{
		{Name: "declared", Run: v.ServeDeclared},
		{Name: "servers", Run: v.ServeServers},
		{Name: "clock", Run: watchSuspensions(logger, d)},
		{Name: "metrics", Run: serveMetrics(m, logger)},
	}, d.Components()...)
	if !r.fedByEntries {
		components = append(components, supervise.Component{Name: "namings", Run: v.ServeNamings})
	}
	logger.WithFields(log.Fields{"role": r.name, "id": m.ID, "site": m.Site, "pid": os.Getpid()}).Info("daemon: started")
	err = supervise.Run(ctx, r.name, logger, components)
	logger.WithFields(log.Fields{"role": r.name, "id": m.ID, "ran_ms": time.Since(started).Milliseconds()}).Info("daemon: stopped")
	return err
}

// newView returns a daemon's view of configuration and servers, and the sources that it reads.
func newView(r role, m machine.Machine, platformStore *platform.Store, logger log.Interface) (*discovery.View, sources) {
	opts := discovery.Options{
		Log: logger, DrainTimeout: m.Bounds.Drain, VersionBound: m.Bounds.Version, EvacuationBound: m.Bounds.Evacuate, PollTimeout: discovery.PollTimeoutWithin(m.Bounds.Contact),
		ServersCoalesceDelay: discovery.ServersCoalesceDelayWithin(m.Bounds.Drain), Timeline: platformStore.Timeline(),
	}
	store := discovery.Hedge(platformStore)
	if !r.fedByEntries {
		opts.Namings = platformStore
		source := peersource.NewEntrySource(store, forward.ListWait(m.Bounds.Drain))
		return discovery.New(source, opts), sources{entry: source}
	}
	source := peersource.New(store)
	opts.FullReadOnChange, opts.CoalesceDelay, opts.ServersCoalesceDelay = true, peerCoalesceDelay, peerCoalesceDelay
	return discovery.New(source, opts), sources{box: source}
}
