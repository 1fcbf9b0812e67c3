package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/fleet"
)

func (c *Config) newDoCmd() *cli.Command {
	return &cli.Command{
		Name:      "do",
		Usage:     "carry out one statement",
		ArgsUsage: "'STATEMENT'",
		Description: "Sends a statement to an entry; docs/language.md lists them.\n\nExample:\n" +
			"  coralstair do 'create fleet batbayar'",
		Flags: append(c.operatorFlags(),
			&cli.Uint64Flag{Name: "if-revision", Usage: "only while the fleet is at revision `N`"}),
		Action: c.runDoCmd,
	}
}

func (c *Config) runDoCmd(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, "one statement in quotes"); err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	return c.execute(ctx, cl, cmd.Args().First(), fleet.Revision(cmd.Uint64("if-revision")))
}
