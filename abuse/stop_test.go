package abuse

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	stopCallers = 32
	// stopAfter is how long callers ask before the stop, and exitLimit how long the process may take to end.
	stopAfter = time.Second
	exitLimit = 12 * time.Second
	// Servers respond after minWork to maxWork, which is less than callers wait.
	minWork, maxWork = 5 * time.Millisecond, 2500 * time.Millisecond
)

// TestPlannedStopCutsNothing guards against requests that come late in the grace of a planned stop, are passed on, and are cut at its end.
// Callers use their connections until the process is gone.
func TestPlannedStopCutsNothing(t *testing.T) {
	g := newRawFleet(t)
	g.awaitServed(t)
	var reached sync.Map
	g.servers.setAnswer(func(conn *net.TCPConn, r *http.Request) {
		reached.Store(standin.RequestID(r), time.Now())
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(minWork + rand.N(maxWork-minWork))
		_, _ = io.WriteString(conn, withID(ordinaryResponse, r))
	})
	var lost, answered, late atomic.Int64
	var stoppedAt atomic.Pointer[time.Time]
	var callers sync.WaitGroup
	for n := range stopCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for count := 0; g.process.alive(); count++ {
				id, path := fmt.Sprintf("stop-%d-%d", n, count), []string{g.safePath, g.oncePath}[count%2]
				sent := time.Now()
				err := askOnce(t.Context(), client, g.entryAddr, path, id)
				if err == nil {
					answered.Add(1)
					continue
				}
				if at, passed := reached.Load(id); passed {
					lost.Add(1)
					t.Errorf("request %s to %s, passed on %v after it was sent, got no answer: %v", id, path, at.(time.Time).Sub(sent), err)
				}
				if at := stoppedAt.Load(); at != nil && sent.After(*at) {
					late.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(stopAfter)
	now := time.Now()
	stoppedAt.Store(&now)
	if err := g.process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-g.process.exited:
	case <-time.After(exitLimit):
		t.Errorf("the process is still running %v after its signal", exitLimit)
		_ = g.process.cmd.Process.Kill()
	}
	callers.Wait()
	t.Logf("%d answered, %d lost, %d sent after the signal and not passed on", answered.Load(), lost.Load(), late.Load())
	if answered.Load() < stopCallers {
		t.Error("hardly a request was answered")
	}
}

// askOnce sends a request and reads its response; any status is an answer.
func askOnce(ctx context.Context, client *http.Client, address, path, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return err
	}
	req.Host = host
	standin.Request{ID: id, Key: key, Timeout: maxWork + time.Second}.SetRequestHeaders(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
