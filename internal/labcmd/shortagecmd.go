package labcmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab/shortage"
)

func (c *Config) newShortageCmd() *cli.Command {
	return &cli.Command{
		Name:  "shortage",
		Usage: "compare ways of letting requests in, in virtual time, with more of them than the engines can serve",
		Description: "Plays the same callers against each way and prints the mean over the seeds.\n\nExample:\n" +
			"  coralstair-lab shortage --load 1.3 --seeds 20",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "`K` seeds"},
			&cli.FloatFlag{Name: "load", Value: 1, Usage: "offered load as a `MULTIPLE` of 189 requests a second before 12 servers that do some 150"},
			&cli.FloatFlag{Name: "jam", Usage: "come so many `TIMES` as often from second 10 to 12"},
		},
		Action: c.runShortageCmd,
	}
}

// Start and end of the burst that --jam adds.
const (
	burstStart = 10 * time.Second
	burstEnd   = 12 * time.Second
)

func (c *Config) runShortageCmd(_ context.Context, cmd *cli.Command) error {
	if cmd.Int("seeds") < 1 || cmd.Float("load") <= 0 {
		return &UsageError{Reason: "--seeds must be at least 1 and --load above 0"}
	}
	means := shortage.Compare(cmd.Int("seeds"), func(seed uint64) shortage.Params {
		p := shortage.DefaultParams(seed, cmd.Float("load"))
		if jam := cmd.Float("jam"); jam > 0 {
			p.BurstStart, p.BurstEnd, p.BurstFactor = burstStart, burstEnd, jam
		}
		return p
	})
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "way\tworth\tworst kind\tin time\tlate\trefused\trefused again")
	for _, m := range means {
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", m.Strategy, m.Value, m.WorstValue, m.InTime, m.Late, m.Refused, m.RefusedAgain)
	}
	return w.Flush()
}
