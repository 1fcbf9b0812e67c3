package cmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/explain"
)

const flagID = "id"

func (c *Config) newExplainCmd() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of one request from the daemons' logs",
		ArgsUsage: "[FILE ...]",
		Description: "Reads logs of any number of machines from files, or from standard input when none is named, and prints the lines of\n" +
			"the request and what was believed of its servers then, with its age.\n\nExample:\n  coralstair explain --id 9c41d07be2a35f68 entry-1.log entry-2.log box-7.log",
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagID, Usage: "the request's id", Required: true}},
		Action: c.runExplainCmd,
	}
}

func (c *Config) runExplainCmd(_ context.Context, cmd *cli.Command) error {
	var logs explain.Log
	if !cmd.Args().Present() {
		if err := logs.Read(c.stdin); err != nil {
			return err
		}
	}
	for _, path := range cmd.Args().Slice() {
		if err := readLog(&logs, path); err != nil {
			return err
		}
	}
	return logs.WriteTimeline(c.stdout, cmd.String(flagID))
}

func readLog(logs *explain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return logs.Read(file)
}
