package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/settings"
)

func (c *Config) newCheckCmd() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a daemon's settings without starting it",
		ArgsUsage: "entry|box FILE",
		Description: "Lists all that is wrong with file, section and key. With --example it prints an example file instead.\n\nExample:\n" +
			"  coralstair check box /etc/coralstair/box.ini",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "example", Usage: "print an example file of the role"}},
		Action: c.runCheckCmd,
	}
}

func (c *Config) runCheckCmd(_ context.Context, cmd *cli.Command) error {
	role := settings.Role(cmd.Args().First())
	if role != settings.RoleEntry && role != settings.RoleBox {
		return &UsageError{Reason: "check takes a role, entry or box, and a file"}
	}
	if cmd.Bool("example") {
		return settings.WriteExample(c.stdout, role)
	}
	if err := checkArgs(cmd, 2, "a role and a file"); err != nil {
		return err
	}
	path := cmd.Args().Get(1)
	var err error
	if role == settings.RoleBox {
		_, err = settings.LoadBox(path)
	} else {
		_, err = settings.LoadEntry(path)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s: the settings are in order\n", path)
	return err
}
