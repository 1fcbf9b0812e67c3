package cmd

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/coralstair/coralstair/settings"
)

const (
	// daemonEnv names the variable that makes the test binary run as a daemon, which prints these lines.
	daemonEnv   = "CORALSTAIR_TEST_DAEMON"
	lineServing = "serving"
	lineStopped = "left"

	// stopDelay is the time between SIGHUP and SIGTERM.
	stopDelay = 300 * time.Millisecond
)

// printingDaemon prints when it serves and when it drains.
type printingDaemon struct{}

// Serve prints lineServing and runs until ctx ends.
func (printingDaemon) Serve(ctx context.Context) error {
	fmt.Println(lineServing)
	<-ctx.Done()
	return nil
}

// Leave prints lineStopped and returns at once.
func (printingDaemon) Leave(context.Context) { fmt.Println(lineStopped) }

// TestSIGHUPIsIgnored guards against SIGHUP ending the daemon, or many of them suppressing the SIGTERM that follows.
func TestSIGHUPIsIgnored(t *testing.T) {
	if os.Getenv(daemonEnv) != "" {
		c := NewConfig()
		if err := c.runDaemon(t.Context(), printingDaemon{}, settings.Daemon{}, "entry"); err != nil {
			t.Error(err)
		}
		return
	}
	for name, hangups := range map[string]int{"none": 0, "one": 1, "many": 20} {
		t.Run(name, func(t *testing.T) {
			daemon := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestSIGHUPIsIgnored$")
			daemon.Env = append(os.Environ(), daemonEnv+"=1")
			out, err := daemon.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := daemon.Start(); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(out)
			if !lines.Scan() || lines.Text() != lineServing {
				t.Fatalf("the daemon printed %q", lines.Text())
			}
			for range hangups {
				_ = daemon.Process.Signal(syscall.SIGHUP)
			}
			time.Sleep(stopDelay)
			_ = daemon.Process.Signal(syscall.SIGTERM)
			drained := lines.Scan() && lines.Text() == lineStopped
			for lines.Scan() {
				continue
			}
			if err := daemon.Wait(); err != nil || !drained {
				t.Errorf("drained: %v; exited with %v", drained, err)
			}
		})
	}
}
