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
		head       = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	)
	for name, test := range map[string]struct {
		start, event string
		complete     bool
	}{
		"first events without end": {event: "data: " + strings.Repeat("x", eventBytes)},
		"later events without end": {start: "data: x\n\n", event: "data: " + strings.Repeat("x", eventBytes)},
		"events of many lines":     {event: strings.Repeat("data: x\n", eventBytes/len("data: x\n"))},
		"small events":             {event: strings.Repeat("data: x\n\n", eventBytes/len("data: x\n\n")), complete: true},
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
			for deadline := time.Now().Add(2 * time.Second); sent.Load() < streams && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			if used := w.entry.responses.used.Load(); !test.complete && (used < limit/4 || used > limit) {
				t.Errorf("%d bytes are counted, of at most %d", used, int64(limit))
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
