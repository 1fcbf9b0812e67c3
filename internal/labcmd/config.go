package labcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/pprof"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of all commands.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Config holds the state that the commands share.
type Config struct {
	stdout io.Writer
	stderr io.Writer
	json   bool

	profile     string
	profileFile *os.File
}

// UsageError reports invalid flags or arguments.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// NewConfig returns a configuration that writes to stdout and stderr.
func NewConfig(stdout, stderr io.Writer) *Config {
	return &Config{stdout: stdout, stderr: stderr}
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	return NewConfig(os.Stdout, os.Stderr).Run(context.Background(), args)
}

// Run runs one command line and returns its exit code.
func (c *Config) Run(ctx context.Context, args []string) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := c.newRootCmd().Run(ctx, args)
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(c.stderr, "coralstair-lab: "+err.Error())
	var usage *UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

func (c *Config) newRootCmd() *cli.Command {
	return &cli.Command{
		Name:                  "coralstair-lab",
		Usage:                 "stand-ins, demo and experiments for a developer's machine",
		Description:           "Exit codes: 0 done, 1 failed, 2 wrong usage. All addresses are on this machine.",
		Writer:                c.stdout,
		ErrWriter:             c.stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &UsageError{Reason: err.Error()}
		},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cpu-profile", Usage: "write a CPU profile to `FILE`", Destination: &c.profile},
		},
		Before: c.startProfile,
		After:  c.stopProfile,
		Commands: []*cli.Command{
			c.newPlatformCmd(), c.newEngineCmd(), c.newPlainCmd(), c.newWeightsCmd(), c.newAskCmd(),
			c.newDemoCmd(), c.newRolloutCmd(), c.newDriveCmd(), c.newControlCmd(), c.newShortageCmd(),
		},
	}
}

// startProfile starts a CPU profile if the flag is set.
func (c *Config) startProfile(ctx context.Context, _ *cli.Command) (context.Context, error) {
	if c.profile == "" {
		return ctx, nil
	}
	file, err := os.Create(c.profile)
	if err != nil {
		return ctx, err
	}
	c.profileFile = file
	return ctx, pprof.StartCPUProfile(file)
}

func (c *Config) stopProfile(context.Context, *cli.Command) error {
	if c.profileFile == nil {
		return nil
	}
	pprof.StopCPUProfile()
	return c.profileFile.Close()
}

func listenFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Value: value}
}

// serve serves HTTP at an address until ctx is done.
func (c *Config) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runAll runs an experiment with each policy in --policy and, for each, with --runs consecutive seeds; with --json it
// prints each result as soon as it is available.
func runAll[T any](c *Config, cmd *cli.Command, run func(policy string, seed uint64) (T, error)) ([]T, error) {
	var results []T
	for policy := range strings.SplitSeq(cmd.String("policy"), ",") {
		for n := range cmd.Int("runs") {
			result, err := run(policy, cmd.Uint64("seed")+uint64(n))
			if err != nil {
				return nil, err
			}
			results = append(results, result)
			if !c.json {
				continue
			}
			if err := json.NewEncoder(c.stdout).Encode(result); err != nil {
				return nil, err
			}
		}
	}
	return results, nil
}
