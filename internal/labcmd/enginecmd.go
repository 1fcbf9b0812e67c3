package labcmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab"
)

const defaultTokenTime = 10 * time.Millisecond

func (c *Config) newEngineCmd() *cli.Command {
	return &cli.Command{
		Name:        "engine",
		Usage:       "run the stand-in of a model engine",
		Description: "Example:\n  coralstair-lab engine --listen 127.0.0.1:8100 --token-time 10ms",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:8100"),
			&cli.DurationFlag{Name: "token-time", Usage: "`TIME` between tokens", Value: defaultTokenTime},
			&cli.IntFlag{Name: "slots", Usage: "`N` answers made at a time; 0 for no limit"},
			&cli.BoolFlag{Name: "unchecked", Usage: "take orders whatever their fence"},
		},
		Action: c.runEngineCmd,
	}
}

func (c *Config) runEngineCmd(ctx context.Context, cmd *cli.Command) error {
	engine := &lab.Engine{
		TokenTime: cmd.Duration("token-time"), Slots: cmd.Int("slots"), IgnoreFence: cmd.Bool("unchecked"),
	}
	return c.serve(ctx, cmd.String("listen"), engine.Handler())
}

func (c *Config) newPlainCmd() *cli.Command {
	return &cli.Command{
		Name:        "plain",
		Usage:       "run the stand-in of a plain service",
		Description: "Example:\n  coralstair-lab plain --listen 127.0.0.1:8200",
		Flags:       []cli.Flag{listenFlag("127.0.0.1:8200")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return c.serve(ctx, cmd.String("listen"), new(lab.Plain).Handler())
		},
	}
}
