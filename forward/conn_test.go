package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

// slowConn is a connection whose writes block until they are let through.
type slowConn struct {
	net.Conn
	entered chan struct{}
	let     chan struct{}
}

func (c *slowConn) Write(b []byte) (int, error) {
	close(c.entered)
	<-c.let
	return len(b), nil
}

// TestWhatIsBeingWrittenCountsAsSent guards against a request that is declared not run while its bytes are on their way: it would run,
// and perhaps twice.
func TestWhatIsBeingWrittenCountsAsSent(t *testing.T) {
	slow := &slowConn{entered: make(chan struct{}), let: make(chan struct{})}
	c := &conn{Conn: slow}
	before := c.beginRequest()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = c.Write([]byte("x")) })
	<-slow.entered
	if c.cutUnlessWritten(before) {
		t.Error("a request that is being written counts as not sent")
	}
	close(slow.let)
	wg.Wait()
	if c.cutUnlessWritten(before) {
		t.Error("a request that was written counts as not sent")
	}
	idle := &conn{Conn: slow}
	if !idle.cutUnlessWritten(idle.beginRequest()) {
		t.Fatal("a request of which nothing was written counts as sent")
	}
	if _, err := idle.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a connection that was cut writes: %v", err)
	}
}

// TestCancelledSendsAreNeverRefusedFalsely cancels requests at random moments of their sending: one that is said to be not sent never
// arrives.
func TestCancelledSendsAreNeverRefusedFalsely(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
		return writeRaw(conn, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nSeal: s\nContent-Length: 0\n\n")
	})
	w := newTestEnv(t, false, server.address)
	said := make(map[string]bool)
	for n := range 300 {
		id := fmt.Sprint("r", n)
		r, err := http.NewRequest(http.MethodPost, "/once/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Id", id)
		c := &call{
			entry: w.entry, info: RequestInfo{ID: id}, route: &contract.Route{Kind: contract.KindOnce}, deadline: time.Now().Add(time.Minute), r: r, body: []byte("x"),
		}
		a := &attempt{call: c, choice: choice{upstream: w.server(0), server: contract.Server{Address: server.address}}}
		a.inFlight = w.server(0).tryAcquire(0, 0, 1, time.Now())
		a.ctx, a.cancel = context.WithCancelCause(context.Background())
		time.AfterFunc(time.Duration(n)*2*time.Microsecond, func() { a.cancel(context.Canceled) })
		result, err := a.send(AttemptInfo{})
		said[id] = err != nil && result == resultNotRun
		a.close()
	}
	time.Sleep(50 * time.Millisecond)
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, r := range server.requests {
		if id := r.Header.Get("Id"); said[id] {
			t.Errorf("%s arrived though it was said to be not sent", id)
		}
	}
}

// server returns the state of the i-th server.
func (w *testEnv) server(i int) *upstream { return w.entry.upstreams.byServer(serverName(i)) }
