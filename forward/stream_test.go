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

func events(conn net.Conn, from, to int) {
	for i := from; i <= to; i++ {
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
	}
}

// streamEvents sends the events after the caller's last one, up to to, and then calls end.
func streaming(seal string, to int, end func(conn net.Conn)) answering {
	return func(conn net.Conn, _ int, r *http.Request) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last"))
		raw(conn, fmt.Sprintf(streamHeader, seal))
		events(conn, from+1, to)
		end(conn)
		return false
	}
}

func finish(conn net.Conn) { _, _ = conn.Write([]byte("0\r\n\r\n")) }

// breakOff resets the connection once the data sent before has arrived.
func breakOff(conn net.Conn) {
	time.Sleep(30 * time.Millisecond)
	reset(conn)
}

func all(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// streamTest is the stream of the first server, that of the second, and the stream expected by the caller.
type streamTest struct {
	path   string
	first  answering
	second answering
	body   string
	cut    bool
	seal   string
}

// streamTests are the ways in which a stream can end.
var streamTests = map[string]streamTest{
	"complete": {"/stream/a", streaming("a", 5, finish), nil, all(5), false, "a"},
	"broken off and resumed": {
		"/stream/a", streaming("a", 3, breakOff), streaming("b", 6, finish), all(6), false, "a",
	},
	"reset within an event": {
		"/stream/a", streaming("a", 3, func(conn net.Conn) { writeChunk(conn, "id: 4\nda"); breakOff(conn) }),
		streaming("b", 6, finish), all(6), false, "a",
	},
	"ended within an event": {
		"/stream/a", streaming("a", 3, func(conn net.Conn) { writeChunk(conn, "id: 4\nda"); finish(conn) }),
		streaming("b", 6, finish), all(6), false, "a",
	},
	"silent between events": {
		"/stream/a", streaming("a", 3, func(net.Conn) { time.Sleep(5 * time.Second) }),
		streaming("b", 6, finish), all(6), false, "a",
	},
	"silent before the first event": {
		"/stream/a", func(net.Conn, int, *http.Request) bool { time.Sleep(5 * time.Second); return false },
		streaming("b", 6, finish), all(6), false, "b",
	},
	"second server repeats events": {
		"/stream/a", streaming("a", 3, breakOff), func(conn net.Conn, _ int, _ *http.Request) bool {
			raw(conn, fmt.Sprintf(streamHeader, "b"))
			events(conn, 2, 6)
			finish(conn)
			return false
		}, all(6), false, "a",
	},
	"version changes": {
		"/stream/a", streaming("a", 2, func(conn net.Conn) { writeChunk(conn, "version: 9\nid: 3\ndata: x\n\n"); time.Sleep(time.Second) }),
		streaming("b", 4, finish), all(4), false, "a",
	},
	"broken off, not resumable": {"/stream/once/a", streaming("a", 3, breakOff), streaming("b", 6, finish), all(3), true, "a"},
	"second server refuses the rest": {
		"/stream/a", streaming("a", 3, breakOff), saying("HTTP/1.1 503 No\nNot-Run: 1\nContent-Length: 0\n\n"), all(3), true, "a",
	},
}

func TestStreams(t *testing.T) {
	for name, test := range streamTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := firstThen(test.first, test.second)
			a, b := newFake(t, answer), newFake(t, answer)
			w := newWorld(t, false, a.address, b.address)
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
	a := newFake(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		raw(conn, fmt.Sprintf(streamHeader, "a"))
		events(conn, 1, 1)
		<-next
		events(conn, 2, 2)
		finish(conn)
		return false
	})
	w := newWorld(t, false, a.address)
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
	if err != nil || string(buf[:n]) != all(1) {
		t.Errorf("got %q, %v before the second event was sent", buf[:n], err)
	}
	close(next)
}
