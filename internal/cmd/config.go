package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/settings"
	"github.com/coralstair/coralstair/stricthttp"
)

// Exit codes of the commands.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Config holds the state shared by the commands.
type Config struct {
	stdin  io.ReadCloser
	stdout io.Writer
	stderr io.Writer
	http   *http.Client

	entries []string
	keyFile string
	json    bool
}

// Option changes a Config, for tests.
type Option func(*Config)

// UsageError reports wrong command-line usage.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// NewConfig returns a Config that uses the standard streams, changed by options.
func NewConfig(options ...Option) *Config {
	c := &Config{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, http: stricthttp.NewClient()}
	for _, option := range options {
		option(c)
	}
	return c
}

// WithOutput redirects the output of the commands.
func WithOutput(stdout, stderr io.Writer) Option {
	return func(c *Config) { c.stdout, c.stderr = stdout, stderr }
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return NewConfig().Run(context.Background(), args)
}

// Run runs one command line and returns its exit code.
func (c *Config) Run(ctx context.Context, args []string) int {
	err := c.newRootCmd().Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(c.stderr, "coralstair: "+text)
	}
	return exitCode(err)
}

func (c *Config) newRootCmd() *cli.Command {
	return &cli.Command{
		Name:                  "coralstair",
		Usage:                 "spread model weights over many small edge sites while requests go on",
		Description:           "Exit codes: 0 done, 1 refused or failed, 2 wrong usage or bad settings.",
		Writer:                c.stdout,
		ErrWriter:             c.stderr,
		EnableShellCompletion: true,
		OnUsageError:          usageError,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                c.runRootCmd,
		Commands: []*cli.Command{
			c.newEntryCmd(), c.newBoxCmd(),
			c.newDoCmd(), c.newShowCmd(), c.newShellCmd(), c.newPublishCmd(),
			c.newCheckCmd(), c.newKeyCmd(), c.newExplainCmd(), c.newReportCmd(), c.newVersionCmd(),
		},
	}
}

func (c *Config) runRootCmd(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Reason: fmt.Sprintf("there is no command %q; see coralstair --help", cmd.Args().First())}
	}
	return cli.ShowRootCommandHelp(cmd)
}

func exitCode(err error) int {
	var usage *UsageError
	var faults *settings.FaultsError
	if errors.As(err, &usage) || errors.As(err, &faults) {
		return ExitUsage
	}
	return ExitFailed
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &UsageError{Reason: err.Error()}
}

// checkArgs checks the number of positional arguments.
func checkArgs(cmd *cli.Command, n int, what string) error {
	if cmd.Args().Len() != n {
		return &UsageError{Reason: fmt.Sprintf("%s takes %s; see coralstair %s --help", cmd.Name, what, cmd.Name)}
	}
	return nil
}
