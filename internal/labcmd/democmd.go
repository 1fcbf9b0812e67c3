package labcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/lab"
)

const (
	demoBoxes  = 16
	demoSites  = 3
	demoSize   = 32 << 20
	demoChunk  = 128 << 10
	demoWindow = 10 * time.Second
	demoLive   = 20
	barWidth   = 40
)

func (c *Config) newDemoCmd() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show a rollout under live requests, all in this process",
		Description: "Starts 16 boxes in 3 sites with paced links, serves a first version, sends live requests and rolls out a second\n" +
			"version meanwhile. Ends with a summary; exit code 1 when an answer was mixed or a request failed.\n\nExample:\n" +
			"  go run ./cmd/coralstair-lab demo",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: demoWindow, Usage: "`DURATION` in which the origin's link carries four copies of the model and each box's two"},
			&cli.StringFlag{Name: "prefer", Value: string(fleet.PreferOriginBytes), Usage: "origin-bytes or time"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the weights"},
		},
		Action: c.runDemoCmd,
	}
}

func (c *Config) runDemoCmd(ctx context.Context, cmd *cli.Command) error {
	log.SetLevel(log.ErrorLevel)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(c.stdout, format+"\n", args...) }
	printf("%d boxes in %d sites serve version v0 of a %d MiB model; live requests go on at %d a second.",
		demoBoxes, demoSites, demoSize>>20, demoLive)
	printf("The links carry 4 copies from the origin and 2 in and out of each box in %s. Declaring version v1 ...", cmd.Duration("window"))
	bar := &progressBar{w: c.stdout, terminal: isTerminal(c.stdout)}
	result, err := lab.Rollout(ctx, lab.RolloutConfig{
		Boxes: demoBoxes, Sites: demoSites, Size: demoSize, ChunkSize: demoChunk, OriginCopies: 4, BoxCopies: 2,
		Window: cmd.Duration("window"), Prefer: fleet.Preference(cmd.String("prefer")), Policy: lab.PolicySwarm,
		Live: demoLive, Seed: cmd.Uint64("seed"), Limit: 20 * cmd.Duration("window"), Progress: bar.show,
	})
	if err != nil {
		return err
	}
	bar.end()
	printf("served by the first box after %.1f s, by half after %.1f s, by all %d after %.1f s (no policy could before %.1f s)",
		result.TimeToFirst, result.TimeToHalf, result.Boxes, result.TimeToN, result.TimeBound)
	printf("drawn from the origin: %.2f copies; the busiest box's link carried %.2f", result.OriginCopies, result.MaxBoxLinkCopies)
	printf("live requests: %d sent, %d failed, %d mixed or wrong; p99 %.1f ms, %.1f ms before the rollout",
		result.LiveRequests, result.LiveFailed, result.MixedAnswers, result.LiveP99, result.LiveP99Idle)
	printf("invariants broken inside the daemons: %d", result.InvariantsBroken)
	if !result.AllServing || result.LiveFailed > 0 || result.MixedAnswers > 0 || result.InvariantsBroken > 0 {
		return fmt.Errorf("the demo failed: see the summary above")
	}
	return nil
}

// progressBar prints the progress of a rollout: one line that is redrawn on a terminal, otherwise one line per second.
type progressBar struct {
	w        io.Writer
	terminal bool
	last     time.Duration
}

func (b *progressBar) show(s lab.Sample) {
	interval := time.Second
	if b.terminal {
		interval = 100 * time.Millisecond
	}
	if s.At-b.last < interval {
		return
	}
	b.last = s.At
	done := int(barWidth * s.Chunks)
	line := fmt.Sprintf("%5.1f s [%s%s] %3.0f%% of chunks, %2d boxes serve v1, %.2f copies from the origin",
		s.At.Seconds(), strings.Repeat("#", done), strings.Repeat(".", barWidth-done), 100*s.Chunks, s.Serving,
		float64(s.OriginBytes)/demoSize)
	if b.terminal {
		_, _ = fmt.Fprint(b.w, "\r"+line)
		return
	}
	_, _ = fmt.Fprintln(b.w, line)
}

func (b *progressBar) end() {
	if b.terminal {
		_, _ = fmt.Fprintln(b.w)
	}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}
