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

// What callers would see: an entry or a box that gets a SIGHUP ends at once, and with it all answers in progress. The order of
// events: the daemon asks for SIGTERM and SIGINT only; what the platform sends for a changed settings file does what it does
// to a program that did not ask for it. The cause: no daemon of this command took SIGHUP.

const (
	// daemonVariable has the test's program be a daemon, which says with these lines where it stands.
	daemonVariable = "CORALSTAIR_TEST_DAEMON"
	lineServing    = "serving"
	lineLeft       = "left"

	// hangup is how long the daemon runs on after a SIGHUP before its planned stop.
	hangup = 300 * time.Millisecond
)

// spokenDaemon says when it serves and when it has left.
type spokenDaemon struct{}

// Serve runs until ctx ends.
func (spokenDaemon) Serve(ctx context.Context) error {
	fmt.Println(lineServing)
	<-ctx.Done()
	return nil
}

// Leave leaves at once.
func (spokenDaemon) Leave(context.Context) { fmt.Println(lineLeft) }

// TestHangupEndsNoDaemon proves that a daemon which gets SIGHUPs goes on, and leaves as planned at the SIGTERM after them.
func TestHangupEndsNoDaemon(t *testing.T) {
	if os.Getenv(daemonVariable) != "" {
		c := NewConfig()
		if err := c.runDaemon(t.Context(), spokenDaemon{}, settings.Daemon{}, "entry"); err != nil {
			t.Error(err)
		}
		return
	}
	for name, hangups := range map[string]int{"none": 0, "one": 1, "many": 20} {
		t.Run(name, func(t *testing.T) {
			daemon := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestHangupEndsNoDaemon$")
			daemon.Env = append(os.Environ(), daemonVariable+"=1")
			out, err := daemon.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := daemon.Start(); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(out)
			if !lines.Scan() || lines.Text() != lineServing {
				t.Fatalf("the daemon said %q", lines.Text())
			}
			for range hangups {
				_ = daemon.Process.Signal(syscall.SIGHUP)
			}
			time.Sleep(hangup)
			_ = daemon.Process.Signal(syscall.SIGTERM)
			left := lines.Scan() && lines.Text() == lineLeft
			for lines.Scan() {
				continue
			}
			if err := daemon.Wait(); err != nil || !left {
				t.Errorf("left as planned: %v; ended with %v", left, err)
			}
		})
	}
}
