package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// chunkOf returns a text as a chunk for writeRaw, which ends its lines with two bytes.
func chunkOf(text string) string {
	return fmt.Sprintf("%x\n%s\n", len(text)+strings.Count(text, "\n"), text)
}

// TestHeldEventsAreBounded guards against servers whose events have no end, sent to many callers at once, that fill the memory of an entry.
func TestHeldEventsAreBounded(t *testing.T) {
	const (
		streams    = 12
		limit      = 2 << 20
		eventBytes = 900 << 10
		// readTime only ends a test whose streams are not read; it is less than their time limit.
		readTime = 2500 * time.Millisecond
		head     = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	)
	line := "data: " + strings.Repeat("x", 256) + "\n"
	usual := "data: " + strings.Repeat("x", usualEvent/2) + "\n\n"
	for name, test := range map[string]struct {
		start, event string
		complete     bool
	}{
		"first events without end": {event: "data: " + strings.Repeat("x", eventBytes)},
		"later events without end": {start: "data: x\n\n", event: "data: " + strings.Repeat("x", eventBytes)},
		"events of many lines":     {event: strings.Repeat(line, eventBytes/len(line))},
		"usual events":             {event: strings.Repeat(usual, eventBytes/len(usual)), complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			checked := make(chan struct{})
			answer := func(conn net.Conn, _ int, _ *http.Request) bool {
				writeRaw(conn, head)
				for _, part := range []string{test.start, test.event} {
					if part != "" {
						writeRaw(conn, chunkOf(part))
					}
				}
				sent.Add(1)
				<-checked
				return test.complete && writeRaw(conn, "0\n\n")
			}
			addresses := make([]string, streams/4)
			for i := range addresses {
				addresses[i] = newFakeServer(t, answer).address
			}
			w := newTestEnv(t, false, addresses...)
			w.entry.responses.limit = limit
			var callers sync.WaitGroup
			var complete atomic.Int64
			for range streams {
				callers.Go(func() {
					if got := w.ask(http.MethodPost, "/stream/once/a", "x", nil); got.err == nil && got.status == http.StatusOK {
						complete.Add(1)
					}
				})
			}
			most := int64(0)
			for deadline := time.Now().Add(readTime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				most = max(most, w.entry.responses.used.Load())
				if sent.Load() >= streams && (test.complete || most >= limit/4) {
					break
				}
			}
			if !test.complete && (most < limit/4 || most > limit) {
				t.Errorf("at most %d bytes are counted, %d may be", most, int64(limit))
			}
			close(checked)
			callers.Wait()
			if used := w.entry.responses.used.Load(); used != 0 {
				t.Errorf("%d bytes are still counted after the streams", used)
			}
			if n := complete.Load(); test.complete != (n == streams) || !test.complete && n > 0 {
				t.Errorf("%d of %d streams are complete", n, streams)
			}
		})
	}
}
