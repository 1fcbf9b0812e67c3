package labcmd

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab"
)

func (c *Config) newControlCmd() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure how fast decisions are in force everywhere, and what control costs",
		Description: "All daemons run in this process; CPU and RSS a daemon are the process's, stand-ins included, divided by their\n" +
			"number. Prints one JSON object.\n\nExample:\n" +
			"  coralstair-lab control --boxes 100 --sites 5 --changes-per-minute 60 --faults replace",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "boxes", Value: 25, Usage: "`N` boxes"},
			&cli.IntFlag{Name: "sites", Value: 3, Usage: "`S` sites"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "`N` entries"},
			&cli.FloatFlag{Name: "changes-per-minute", Value: 60, Usage: "`M` decisions a minute"},
			&cli.FloatFlag{Name: "seconds", Value: 15, Usage: "`SECONDS` of the experiment"},
			&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, or of replace,outage,cut"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the decisions"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON (always so)", Destination: &c.json},
			&cli.StringFlag{Name: "log-level", Value: "fatal", Usage: "least level that is logged"},
		},
		Action: c.runControlCmd,
	}
}

func (c *Config) runControlCmd(ctx context.Context, cmd *cli.Command) error {
	log.SetLevelFromString(cmd.String("log-level"))
	cfg := lab.ControlConfig{
		Boxes: cmd.Int("boxes"), Sites: cmd.Int("sites"), Entries: cmd.Int("entries"),
		ChangesPerMinute: cmd.Float("changes-per-minute"), Seed: cmd.Uint64("seed"),
		Duration: time.Duration(cmd.Float("seconds") * float64(time.Second)),
	}
	if faults := cmd.String("faults"); faults != "none" {
		cfg.Faults = strings.Split(faults, ",")
	}
	result, err := lab.Control(ctx, cfg)
	if err != nil {
		return err
	}
	return json.NewEncoder(c.stdout).Encode(result)
}
