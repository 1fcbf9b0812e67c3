package daemoncmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/view"
)

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
	v := view.New(platform.NewStore(m.StoreAt, newClient()), view.Options{
		Log: logger, VersionBound: m.Bounds.Version, ServersSettle: of.listSettle, Settle: of.settle, Reread: of.reread,
	})
	d, err := of.build(m, v, logger)
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
		{Name: "metrics", Run: serveMetrics(m.Address)},
	}, d.Parts()...)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "site": m.Site, "pid": os.Getpid()}).Info("daemon: started")
	err = supervise.Run(ctx, of.name, logger, parts)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "ran_ms": time.Since(started).Milliseconds()}).Info("daemon: stopped")
	return err
}
