package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/box"
	"github.com/coralstair/coralstair/dynamo"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/settings"
)

func (c *Config) newBoxCmd() *cli.Command {
	return &cli.Command{
		Name:        "box",
		Usage:       "run the daemon beside one upstream",
		ArgsUsage:   "SETTINGS",
		Description: "Runs until SIGTERM, which asks for a planned stop; a second one ends it at once.\n\nExample:\n  coralstair box /etc/coralstair/box.ini",
		Action:      c.runBoxCmd,
	}
}

func (c *Config) runBoxCmd(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, "a settings file"); err != nil {
		return err
	}
	cfg, err := settings.LoadBox(cmd.Args().First())
	if err != nil {
		return err
	}
	if err := c.setupLog(cfg.Daemon); err != nil {
		return err
	}
	listener, err := listen(cfg.Daemon.Listen)
	if err != nil {
		return &box.AddressInUseError{Address: cfg.Daemon.Listen, Err: err}
	}
	table := newTable(cfg.Platform)
	pacer := bandwidth.New(cfg.LinkRate)
	b := box.New(box.Config{
		ID: cfg.Daemon.ID, Fleet: cfg.Daemon.Fleet, Site: cfg.Daemon.Site, Service: cfg.Service,
		Kind: fleet.Kind(cfg.Kind), Incarnation: newIncarnation(), Listener: listener, Limits: clientLimits(cfg.Daemon), Advertise: cfg.Advertise,
		UpstreamURL: cfg.UpstreamURL, Slots: cfg.Slots, WeightsLimit: cfg.WeightsLimit, Pacer: pacer, DrainLimit: cfg.Daemon.DrainLimit,
		UncheckedFences: cfg.ChecksFences == "no", ResumesStreams: cfg.ResumesStreams == "yes",
		Ledger: ledger.New(table), Table: table, Origin: newObjects(cfg.Platform, pacer),
		List: &dynamo.LiveList{URL: cfg.Platform.LiveURL}, ListInterval: cfg.Platform.ListInterval,
	})
	return c.runDaemon(ctx, b, cfg.Daemon, "box")
}
