package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/urfave/cli/v3"
)

const (
	prompt      = "coralstair> "
	quitCommand = "quit"
)

func (c *Config) newShellCmd() *cli.Command {
	return &cli.Command{
		Name:  "shell",
		Usage: "carry out statements as they are typed, with history and completion",
		Description: "Each line is one statement; quit or end of input ends the shell.\n\nExample:\n" +
			"  coralstair shell --entry http://10.0.0.1:7300 --key-file operator.key",
		Flags: append(c.operatorFlags(),
			&cli.StringFlag{Name: "history", Usage: "`FILE` that keeps the lines typed"}),
		Action: c.runShellCmd,
	}
}

func (c *Config) runShellCmd(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0, "no arguments"); err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	lines, err := readline.NewEx(&readline.Config{
		Prompt: prompt, HistoryFile: cmd.String("history"), AutoComplete: completer(),
		Stdin: c.stdin, Stdout: c.stdout, Stderr: c.stderr,
	})
	if err != nil {
		return err
	}
	defer func() { _ = lines.Close() }()
	for {
		line, err := lines.Readline()
		if errors.Is(err, readline.ErrInterrupt) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		if line == quitCommand {
			return nil
		}
		if line == "" {
			continue
		}
		if err := c.execute(ctx, cl, line, 0); err != nil {
			_, _ = fmt.Fprintln(c.stderr, err)
		}
	}
}

// completer completes the keywords of statements.
func completer() readline.AutoCompleter {
	item := readline.PcItem
	tables := []readline.PrefixCompleterInterface{
		item("fleets"), item("services"), item("versions"), item("boxes"), item("rollouts"), item("teams"), item("history"),
	}
	kinds := []readline.PrefixCompleterInterface{item("fleet"), item("service"), item("team")}
	settings := make([]readline.PrefixCompleterInterface, 0, 6)
	for _, name := range []string{"prefer", "replicas", "rollout-share", "once", "concurrency", "weight"} {
		settings = append(settings, item(name, item("of", kinds...)))
	}
	return readline.NewPrefixCompleter(
		item("create", item("fleet"), item("service")),
		item("declare", item("version")),
		item("set", settings...),
		item("start", item("box")), item("stop", item("box")),
		item("drop", item("fleet"), item("service"), item("version")),
		item("explain"),
		item("show", tables...),
		item(quitCommand),
	)
}
