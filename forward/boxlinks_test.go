package forward

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestSilentReportsAreAskedForAnew checks that a link without reports is closed and reopened, while the link to another box stays
// open.
func TestSilentReportsAreAskedForAnew(t *testing.T) {
	t.Parallel()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Kept open until the test ends, so that no other test gets the port.
	t.Cleanup(func() { _ = probe.Close() })
	port := probe.Addr().(*net.TCPAddr).Port
	box := func(host, server string, silent bool) *atomic.Int32 {
		var links atomic.Int32
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			t.Fatal(err)
		}
		handler := func(rw http.ResponseWriter, r *http.Request) {
			conn, err := link.Accept(rw, r, nil)
			if err != nil {
				return
			}
			defer conn.Close()
			once := links.Add(1) == 1 && silent
			go func() {
				for conn.Send(conn.Context(), &link.Report{Server: server, Model: testModel, Version: 1}) == nil && !once {
					time.Sleep(200 * time.Millisecond)
				}
			}()
			for err == nil {
				_, err = conn.Receive()
			}
		}
		s := &http.Server{Handler: http.HandlerFunc(handler)}
		t.Cleanup(func() { _ = s.Close() })
		go func() { _ = s.Serve(listener) }()
		return &links
	}
	stopped, reporting := box("127.0.9.1", serverName(0), true), box("127.0.9.2", serverName(1), false)
	w := newModelTestEnv(t, "127.0.9.1:1", "127.0.9.2:1")
	w.entry.cfg.Machine.LinkPort = port
	go func() { _ = w.entry.boxLinks.serve(t.Context()) }()
	for deadline := time.Now().Add(reportTimeout + 3*time.Second); stopped.Load() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d links opened to the box that stopped reporting", stopped.Load())
		}
	}
	if n := reporting.Load(); n != 1 {
		t.Errorf("%d links opened to the reporting box, want 1", n)
	}
}
