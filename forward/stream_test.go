package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const streamHeader = "HTTP/1.1 200 OK\nId: r1\nSeal: %s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"

func writeChunk(conn net.Conn, text string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

func writeEvents(conn net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
	}
}

// streamEvents sends the events after the caller's last one, up to to, and then calls end.
func streamEvents(seal string, to int, end func(conn net.Conn)) responder {
	return func(conn net.Conn, _ int, r *http.Request) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last"))
		writeRaw(conn, fmt.Sprintf(streamHeader, seal))
		writeEvents(conn, from+1, to)
		end(conn)
		return false
	}
}

func writeLastChunk(conn net.Conn) { _, _ = conn.Write([]byte("0\r\n\r\n")) }

// breakOff resets the connection once the data sent before has arrived.
func breakOff(conn net.Conn) {
	time.Sleep(30 * time.Millisecond)
	reset(conn)
}

func allEvents(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// streamTest is the stream of the first server, that of the second, and the stream expected by the caller.
type streamTest struct {
	path   string
	first  responder
	second responder
	body   string
	cut    bool
	seal   string
}

// streamTests are the ways in which a stream can end.
var streamTests = map[string]streamTest{
	"complete": {"/stream/a", streamEvents("a", 5, writeLastChunk), nil, allEvents(5), false, "a"},
	"broken off and resumed": {
		"/stream/a", streamEvents("a", 3, breakOff), streamEvents("b", 6, writeLastChunk), allEvents(6), false, "a",
	},
	"reset within an event": {
		"/stream/a", streamEvents("a", 3, func(conn net.Conn) { writeChunk(conn, "id: 4\nda"); breakOff(conn) }),
		streamEvents("b", 6, writeLastChunk), allEvents(6), false, "a",
	},
	"ended within an event": {
		"/stream/a", streamEvents("a", 3, func(conn net.Conn) { writeChunk(conn, "id: 4\nda"); writeLastChunk(conn) }),
		streamEvents("b", 6, writeLastChunk), allEvents(6), false, "a",
	},
	"silent between events": {
		"/stream/a", streamEvents("a", 3, func(net.Conn) { time.Sleep(5 * time.Second) }),
		streamEvents("b", 6, writeLastChunk), allEvents(6), false, "a",
	},
	"silent before the first event": {
		"/stream/a", func(net.Conn, int, *http.Request) bool { time.Sleep(5 * time.Second); return false },
		streamEvents("b", 6, writeLastChunk), allEvents(6), false, "b",
	},
	"second server repeats events": {
		"/stream/a", streamEvents("a", 3, breakOff), func(conn net.Conn, _ int, _ *http.Request) bool {
			writeRaw(conn, fmt.Sprintf(streamHeader, "b"))
			writeEvents(conn, 2, 6)
			writeLastChunk(conn)
			return false
		}, allEvents(6), false, "a",
	},
	"version changes": {
		"/stream/a", streamEvents("a", 2, func(conn net.Conn) { writeChunk(conn, "version: 9\nid: 3\ndata: x\n\n"); time.Sleep(time.Second) }),
		streamEvents("b", 4, writeLastChunk), allEvents(4), false, "a",
	},
	"broken off, not resumable": {"/stream/once/a", streamEvents("a", 3, breakOff), streamEvents("b", 6, writeLastChunk), allEvents(3), true, "a"},
	"second server refuses the rest": {
		"/stream/a", streamEvents("a", 3, breakOff), respondWith("HTTP/1.1 503 No\nNot-Run: 1\nContent-Length: 0\n\n"), allEvents(3), true, "a",
	},
}

func TestStreams(t *testing.T) {
	for name, test := range streamTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := firstThen(test.first, test.second)
			a, b := newFakeServer(t, answer), newFakeServer(t, answer)
			w := newTestEnv(t, false, a.address, b.address)
			got := w.ask("POST", "/"+strings.TrimPrefix(test.path, "/"), "", nil)
			if got.status != 200 || got.body != test.body || (got.err != nil) != test.cut {
				t.Errorf("status %d, cut %v, body:\n%s\nwant cut %t:\n%s", got.status, got.err, got.body, test.cut, test.body)
			}
			if got.header.Get("Seal") != test.seal {
				t.Errorf("seal %q, want that of the first server whose events were relayed, %q", got.header.Get("Seal"), test.seal)
			}
		})
	}
}

func TestStreamIsFlushedPerEvent(t *testing.T) {
	next := make(chan struct{})
	a := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		writeRaw(conn, fmt.Sprintf(streamHeader, "a"))
		writeEvents(conn, 1, 1)
		<-next
		writeEvents(conn, 2, 2)
		writeLastChunk(conn)
		return false
	})
	w := newTestEnv(t, false, a.address)
	req, err := http.NewRequest("POST", w.url+"/stream/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 64)
	n, err := resp.Body.Read(buf)
	if err != nil || string(buf[:n]) != allEvents(1) {
		t.Errorf("got %q, %v before the second event was sent", buf[:n], err)
	}
	close(next)
}
