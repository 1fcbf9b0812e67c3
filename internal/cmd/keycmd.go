package cmd

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/keys"
)

func (c *Config) newKeyCmd() *cli.Command {
	return &cli.Command{
		Name:      "key",
		Usage:     "make a key for a team or an operator",
		ArgsUsage: "team|read|operate NAME",
		Description: "Prints the key, which only its holder keeps, and the line with its hash for the entries' keys file.\n\nExample:\n" +
			"  coralstair key team relief",
		Action: c.runKeyCmd,
	}
}

func (c *Config) runKeyCmd(_ context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 2, "a role and a name"); err != nil {
		return err
	}
	role := keys.Role(cmd.Args().Get(0))
	switch role {
	case keys.RoleTeam, keys.RoleRead, keys.RoleOperate:
	default:
		return &UsageError{Reason: fmt.Sprintf("role %q is not team, read or operate", role)}
	}
	secret := rand.Text()
	_, err := fmt.Fprintf(c.stdout, "key:  %s\nline: %s %s %s\n", secret, role, cmd.Args().Get(1), keys.Hash(secret))
	return err
}
