package cmd

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"
)

func (c *Config) newShowCmd() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "answer a query",
		ArgsUsage: "fleets|services|versions|boxes|rollouts|teams|history [in FLEET] [where …] [order by …] [limit N]",
		Description: "Is short for: coralstair do 'show …'\n\nExample:\n" +
			"  coralstair show boxes where state = serving order by load desc limit 5",
		Flags:  c.operatorFlags(),
		Action: c.runShowCmd,
	}
}

func (c *Config) runShowCmd(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return &UsageError{Reason: "show takes a query; see coralstair show --help"}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	return c.execute(ctx, cl, "show "+strings.Join(cmd.Args().Slice(), " "), 0)
}
