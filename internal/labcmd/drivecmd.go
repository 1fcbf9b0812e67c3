package labcmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab"
)

func (c *Config) newDriveCmd() *cli.Command {
	return &cli.Command{
		Name:  "drive",
		Usage: "measure callers' requests under load and faults, and check each answer against the stand-ins' records",
		Description: "Starts entries, boxes, engines and the platform in this process and sends open-loop load at them.\n\nExample:\n" +
			"  coralstair-lab drive --self --boxes 12 --load 2 --seconds 10 --faults kill,stall",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "self", Value: true, Usage: "start everything in this process (the only way so far)"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "`N` entries"},
			&cli.IntFlag{Name: "boxes", Value: 12, Usage: "`N` boxes of the model service"},
			&cli.FloatFlag{Name: "rps", Value: 200, Usage: "offered `RPS`"},
			&cli.FloatFlag{Name: "load", Usage: "offered load as a `MULTIPLE` of the measured capacity, in place of --rps"},
			&cli.FloatFlag{Name: "seconds", Value: 10, Usage: "`SECONDS` of load"},
			&cli.IntFlag{Name: "teams", Value: 10, Usage: "`N` teams; the first is as large as 20 others"},
			&cli.FloatFlag{Name: "once-share", Value: 0.1, Usage: "`SHARE` of submissions that must not be repeated"},
			&cli.StringFlag{Name: "burst", Value: lab.BurstNone, Usage: "none, roster or deadline"},
			&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, or of kill,stall,freeze,leave,outage,lag"},
			&cli.StringFlag{Name: "policy", Value: "coralstair", Usage: "coralstair, roundrobin or random, or several with commas"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the load"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "`K` runs with seeds one after another"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, an object a run", Destination: &c.json},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "least level that is logged"},
		},
		Action: c.runDriveCmd,
	}
}

func (c *Config) runDriveCmd(ctx context.Context, cmd *cli.Command) error {
	log.SetLevelFromString(cmd.String("log-level"))
	cfg := lab.DriveConfig{
		Entries: cmd.Int("entries"), Boxes: cmd.Int("boxes"), RPS: cmd.Float("rps"), Load: cmd.Float("load"),
		Duration: time.Duration(cmd.Float("seconds") * float64(time.Second)), Teams: cmd.Int("teams"),
		OnceShare: cmd.Float("once-share"), Burst: cmd.String("burst"), Seed: cmd.Uint64("seed"),
	}
	if faults := cmd.String("faults"); faults != "none" {
		cfg.Faults = strings.Split(faults, ",")
	}
	results, err := runAll(c, cmd, func(policy string, seed uint64) (lab.DriveResult, error) {
		runCfg := cfg
		runCfg.Policy, runCfg.Seed = policy, seed
		return lab.Drive(ctx, runCfg)
	})
	if err != nil {
		return err
	}
	if c.json {
		return nil
	}
	return printDrives(c.stdout, results)
}

func printDrives(w io.Writer, results []lab.DriveResult) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "POLICY\tFAULTS\tSEED\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tWRONG\tCUT\tREPEATED\tRAN AFTER\tGOODPUT\tCAPACITY\tRATIO\tTTFT P50\tP95\tP99\tREFUSAL P99\tSMALL\tWRITES/S\tREADS/S\tBROKEN")
	for _, r := range results {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%d\n",
			r.Policy, r.Faults, r.Seed, r.Sent, r.Answered, r.RefusedNotRun, r.Unknown, r.WrongAnswers, r.CutAnswers,
			r.RepeatedRuns, r.RanAfterNotRun, r.GoodputRPS, r.CapacityRPS, r.GoodputRatio, r.TTFTP50, r.TTFTP95, r.P99,
			r.RefusalP99, r.SmallTeamGoodput, r.TableWritesPerSecond, r.TableReadsPerSecond, r.InvariantsBroken)
	}
	for _, r := range results {
		for _, broken := range r.Broken {
			_, _ = fmt.Fprintln(tab, broken)
		}
	}
	return tab.Flush()
}
