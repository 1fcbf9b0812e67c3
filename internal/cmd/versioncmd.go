package cmd

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func (c *Config) newVersionCmd() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the program's version",
		Description: "Example:\n  coralstair version",
		Action:      c.runVersionCmd,
	}
}

func (c *Config) runVersionCmd(context.Context, *cli.Command) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(c.stdout, "coralstair %s (%s %s/%s)\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
