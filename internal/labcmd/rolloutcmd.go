package labcmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/dustin/go-humanize"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/lab"
)

func (c *Config) newRolloutCmd() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "measure a rollout: real box daemons over paced links to a paced origin",
		Description: "The window sets the links' rates: in it the origin carries --origin-copies copies of the model and each\n" +
			"box --box-copies copies, in and out together.\n\nExample:\n" +
			"  coralstair-lab rollout --boxes 16 --sites 3 --size 16MiB --window 10s --prefer time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "boxes", Value: 16, Usage: "`N` boxes"},
			&cli.IntFlag{Name: "sites", Value: 3, Usage: "`S` sites"},
			&cli.StringFlag{Name: "size", Value: "16MiB", Usage: "`SIZE` of the model"},
			&cli.StringFlag{Name: "chunk-size", Value: "128KiB", Usage: "`SIZE` of a chunk"},
			&cli.FloatFlag{Name: "origin-copies", Value: 4, Usage: "`COPIES` that the origin's link carries in the window"},
			&cli.FloatFlag{Name: "box-copies", Value: 2, Usage: "`COPIES` that a box's link carries in the window"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "`DURATION` of the window"},
			&cli.StringFlag{Name: "prefer", Value: "origin-bytes", Usage: "origin-bytes or time"},
			&cli.StringFlag{Name: "policy", Value: "swarm", Usage: "swarm, origin, tree or chain, or several with commas"},
			&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, or of corrupt,stall,die,newversion,outage,cut"},
			&cli.FloatFlag{Name: "live", Usage: "`RPS` of live requests meanwhile"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the weights and faults"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "`K` runs with seeds one after another"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE.png`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, an object a run", Destination: &c.json},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "least level that is logged"},
		},
		Action: c.runRolloutCmd,
	}
}

func (c *Config) runRolloutCmd(ctx context.Context, cmd *cli.Command) error {
	cfg, err := rolloutConfig(cmd)
	if err != nil {
		return err
	}
	log.SetLevelFromString(cmd.String("log-level"))
	results, err := runAll(c, cmd, func(policy string, seed uint64) (lab.RolloutResult, error) {
		runCfg := cfg
		runCfg.Policy, runCfg.Seed = policy, seed
		return lab.Rollout(ctx, runCfg)
	})
	if err != nil {
		return err
	}
	if path := cmd.String("plot"); path != "" {
		if err := lab.Plot(path, results); err != nil {
			return err
		}
	}
	if c.json {
		return nil
	}
	return printRollouts(c.stdout, results)
}

func rolloutConfig(cmd *cli.Command) (lab.RolloutConfig, error) {
	size, err := humanize.ParseBytes(cmd.String("size"))
	if err != nil {
		return lab.RolloutConfig{}, &UsageError{Reason: err.Error()}
	}
	chunk, err := humanize.ParseBytes(cmd.String("chunk-size"))
	if err != nil {
		return lab.RolloutConfig{}, &UsageError{Reason: err.Error()}
	}
	cfg := lab.RolloutConfig{
		Boxes: cmd.Int("boxes"), Sites: cmd.Int("sites"), Size: int64(size), ChunkSize: int64(chunk),
		OriginCopies: cmd.Float("origin-copies"), BoxCopies: cmd.Float("box-copies"), Window: cmd.Duration("window"),
		Prefer: fleet.Preference(cmd.String("prefer")), Live: cmd.Float("live"), Seed: cmd.Uint64("seed"),
		Limit: 20 * cmd.Duration("window"),
	}
	if cfg.Prefer != fleet.PreferOriginBytes && cfg.Prefer != fleet.PreferTime {
		return cfg, &UsageError{Reason: "--prefer must be origin-bytes or time"}
	}
	if faults := cmd.String("faults"); faults != "none" {
		cfg.Faults = strings.Split(faults, ",")
	}
	return cfg, nil
}

func printRollouts(w io.Writer, results []lab.RolloutResult) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "POLICY\tPREFER\tBOXES\tSEED\tTIME TO N\tHALF\tFIRST\tBOUND\tRATIO\tORIGIN\tMAX LINK\tCROSS\tWASTED\tREJECTED\tLIVE\tFAILED\tMIXED\tP99\tP99 IDLE\tALL")
	for _, r := range results {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%d/%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%v\n",
			r.Policy, r.Prefer, r.Boxes, r.Sites, r.Seed, r.TimeToN, r.TimeToHalf, r.TimeToFirst, r.TimeBound, r.TimeRatio,
			r.OriginCopies, r.MaxBoxLinkCopies, r.CrossSiteCopies, r.WastedChunkBytes, r.ChunksRejected,
			r.LiveRequests, r.LiveFailed, r.MixedAnswers, r.LiveP99, r.LiveP99Idle, r.AllServing)
	}
	return tab.Flush()
}
