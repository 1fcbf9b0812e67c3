package daemoncmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/logging"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/settings"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
)

const (
	// gcPercent is below the default because memory is scarcer than CPU time.
	gcPercent       = 50
	logFlushTimeout = 200 * time.Millisecond
)

// Main runs the daemon named by the command line and returns its exit code.
func Main(args []string) int {
	debug.SetGCPercent(gcPercent)
	root := &cli.Command{
		Name:  "coralstaird",
		Usage: "run a daemon on the users' platform",
		Description: "The settings file is named by the environment variable " + platform.SettingsVariable + ".\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage or bad settings.",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{Name: "entry", Usage: "take callers' requests and call upstreams", Action: daemonAction(entryRole)},
			{Name: "box", Usage: "bring the server on this machine to the declared version", Action: daemonAction(boxRole)},
		},
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(os.Stderr, "coralstaird: "+err.Error())
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		return exitUsage
	}
	return exitFailed
}

func daemonAction(r role) cli.ActionFunc {
	return func(ctx context.Context, _ *cli.Command) error {
		handler := logging.NewAsyncHandler(os.Stdout)
		defer handler.Close(logFlushTimeout)
		logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
		return run(ctx, r, os.Getenv(platform.SettingsVariable), logger)
	}
}
