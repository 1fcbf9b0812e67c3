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

// TestSilentReportsAreAskedForAnew proves that a link to a box on which reports stop is ended and opened anew, while another box
// goes on reporting on its first link.
func TestSilentReportsAreAskedForAnew(t *testing.T) {
	t.Parallel()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Held until the test ends, so that the port is given to no other test.
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
			stops := links.Add(1) == 1 && silent
			go func() {
				for conn.Send(conn.Context(), &link.Report{Server: server, Model: engineModel, Version: 1}) == nil && !stops {
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
	stops, goesOn := box("127.0.9.1", serverName(0), true), box("127.0.9.2", serverName(1), false)
	w := newEngineWorld(t, "127.0.9.1:1", "127.0.9.2:1")
	w.entry.cfg.Machine.LinkPort = port
	go func() { _ = w.entry.reports.serve(t.Context()) }()
	for deadline := time.Now().Add(reportSilence + 3*time.Second); stops.Load() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d links to the box that fell silent", stops.Load())
		}
	}
	if n := goesOn.Load(); n != 1 {
		t.Errorf("%d links to the box that goes on, want 1", n)
	}
}
