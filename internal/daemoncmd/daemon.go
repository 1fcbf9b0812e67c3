package daemoncmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/forward"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/told"
	"github.com/coralstair/coralstair/view"
)

// toldSettle is how old what entries tell may be.
const toldSettle = 50 * time.Millisecond

// run runs one daemon until a signal: SIGHUP reads the settings again, SIGTERM asks for a planned stop, a second one ends
// it at once.
func run(ctx context.Context, of role, path string, logger log.Interface) error {
	started := time.Now()
	m, err := platform.LoadMachine(path)
	if err != nil {
		return err
	}
	logger = logger.WithField("node", m.ID)
	if m.UpstreamAt != "" {
		logger = logger.WithField("upstream", m.UpstreamAt)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	store := platform.NewStore(m.StoreAt, newClient())
	v, from := newView(of, m, store, logger)
	from.store = store
	d, err := of.build(m, v, from, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		stop(ctx, signals, path, logger, d)
		cancel()
	}()
	parts := append([]supervise.Part{
		{Name: "declared", Run: v.ServeDeclared},
		{Name: "servers", Run: v.ServeServers},
		{Name: "clock", Run: lookForSuspensions(logger, d)},
		{Name: "metrics", Run: serveMetrics(m.Address)},
	}, d.Parts()...)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "site": m.Site, "pid": os.Getpid()}).Info("daemon: started")
	err = supervise.Run(ctx, of.name, logger, parts)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "ran_ms": time.Since(started).Milliseconds()}).Info("daemon: stopped")
	return err
}

// newView returns what a daemon believes, by the store and by what entries tell of it.
func newView(of role, m machine.Machine, platformStore *platform.Store, logger log.Interface) (*view.View, sources) {
	opts := view.Options{
		Log: logger, Drain: m.Bounds.Drain, VersionBound: m.Bounds.Version, Wait: view.WaitWithin(m.Bounds.Contact),
		ServersSettle: view.SettleWithin(m.Bounds.Drain),
	}
	store := view.Reissue(platformStore)
	if !of.told {
		source := told.NewForEntry(store, forward.ListWait(m.Bounds.Drain))
		return view.New(source, opts), sources{entry: source}
	}
	source := told.New(store)
	opts.Reread, opts.Settle, opts.ServersSettle = true, toldSettle, toldSettle
	return view.New(source, opts), sources{box: source}
}
