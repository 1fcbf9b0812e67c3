package cmd

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/dynamo"
	"github.com/coralstair/coralstair/entry"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/settings"
)

func (c *Config) newEntryCmd() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run the daemon of an entry box",
		ArgsUsage:   "SETTINGS",
		Description: "Runs until SIGTERM, which asks for a planned stop; a second one ends it at once.\n\nExample:\n  coralstair entry /etc/coralstair/entry.ini",
		Action:      c.runEntryCmd,
	}
}

func (c *Config) runEntryCmd(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, "a settings file"); err != nil {
		return err
	}
	cfg, err := settings.LoadEntry(cmd.Args().First())
	if err != nil {
		return err
	}
	if err := c.setupLog(cfg.Daemon); err != nil {
		return err
	}
	ring, err := readKeys(cfg.KeysFile)
	if err != nil {
		return &settings.FaultsError{Faults: []*settings.Fault{{File: cfg.KeysFile, Reason: err.Error()}}}
	}
	listener, err := listen(cfg.Daemon.Listen)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.Daemon.Memory * heapPercent / 100)
	table := newTable(cfg.Platform)
	e := entry.New(entry.Config{
		ID: cfg.Daemon.ID, Fleet: cfg.Daemon.Fleet, Site: cfg.Daemon.Site, Incarnation: newIncarnation(),
		Listener: listener, Limits: clientLimits(cfg.Daemon), Queue: cfg.QueueLimit, Deadline: cfg.DefaultDeadline, BodyLimit: cfg.BodyLimit,
		DrainLimit: cfg.Daemon.DrainLimit,
		Ledger:     ledger.New(table), Claims: table, Keys: ring,
		List: &dynamo.LiveList{URL: cfg.Platform.LiveURL}, ListInterval: cfg.Platform.ListInterval,
	})
	return c.runDaemon(ctx, e, cfg.Daemon, "entry")
}

func readKeys(path string) (*keys.Ring, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return keys.Read(file)
}
