package labcmd

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab"
	"github.com/coralstair/coralstair/membership"
)

func (c *Config) newPlatformCmd() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in of the platform: table service, object store with origin, live list",
		Description: "Example:\n" +
			"  coralstair-lab platform --listen 127.0.0.1:8000 --live members.json",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:8000"),
			&cli.StringFlag{Name: "live", Usage: "`FILE` with the live list as a JSON array"},
			&cli.FloatFlag{Name: "origin-rate", Usage: "pace of the object store in `BYTES` a second; 0 for none"},
		},
		Action: c.runPlatformCmd,
	}
}

func (c *Config) runPlatformCmd(ctx context.Context, cmd *cli.Command) error {
	var p lab.Platform
	p.Objects.SetRate(cmd.Float("origin-rate"))
	if path := cmd.String("live"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var members []membership.Member
		if err := json.Unmarshal(data, &members); err != nil {
			return err
		}
		for _, member := range members {
			p.Live.Put(member)
		}
	}
	return c.serve(ctx, cmd.String("listen"), p.Handler())
}
