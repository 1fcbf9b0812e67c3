package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
)

const (
	fakeFleet   = "f"
	fakeService = "s"
	fakeSlots   = 4
	// listInterval is how often the entry reads the list of boxes, testTimeout how long a test waits for the entry.
	listInterval = 10 * time.Millisecond
	testTimeout  = 5 * time.Second
)

// responder responds to a box's nth request, counted from 1.
type responder func(b *fakeBox, n int, id uint64)

// fakeBox is a box that responds to requests as a test sets.
type fakeBox struct {
	t       *testing.T
	member  membership.Member
	respond responder
	resumes bool

	mu       sync.Mutex
	conn     *link.Conn
	requests int
	cancels  int
}

// ServeHTTP serves the entry's link.
func (b *fakeBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Receive(); err != nil {
		return
	}
	b.mu.Lock()
	b.conn = conn
	b.mu.Unlock()
	b.send(&link.Hello{ID: b.member.ID, Role: string(membership.RoleBox), Fleet: fakeFleet, Incarnation: b.member.Incarnation, Revision: 1})
	b.sendHeartbeat(true, false)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		b.handle(msg)
	}
}

func (b *fakeBox) handle(msg link.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch m := msg.(type) {
	case *link.Request:
		b.requests++
		go b.respond(b, b.requests, m.ID)
	case *link.Cancel:
		b.cancels++
	}
}

func (b *fakeBox) send(msg link.Message) {
	b.mu.Lock()
	conn := b.conn
	b.mu.Unlock()
	_ = conn.Send(conn.Context(), msg)
}

func (b *fakeBox) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// linkEnded reports whether the entry has closed its link.
func (b *fakeBox) linkEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conn.Context().Err() != nil
}

// sendHeartbeat sends a heartbeat with the box's state.
func (b *fakeBox) sendHeartbeat(open, leaving bool) {
	b.send(&link.Heartbeat{
		Revision: 1, Slots: fakeSlots, Entries: 1, Leaving: leaving, Resumes: b.resumes,
		Service: link.ServiceState{Service: fakeService, Open: open},
	})
}

func (b *fakeBox) head(id uint64, kind string) {
	b.send(&link.Head{ID: id, Status: http.StatusOK, Header: map[string][]string{"Content-Type": {kind}}})
}

func (b *fakeBox) data(id uint64, text string) { b.send(&link.Data{ID: id, Body: []byte(text)}) }

func (b *fakeBox) end(id uint64, outcome link.Outcome) { b.send(&link.End{ID: id, Outcome: outcome}) }

// respondOK sends a complete response.
func respondOK(b *fakeBox, _ int, id uint64) {
	b.head(id, "text/plain")
	b.data(id, "hello")
	b.end(id, link.OutcomeRan)
}

func refuse(b *fakeBox, _ int, id uint64) { b.end(id, link.OutcomeNotRun) }

// fakeList is the platform's list of boxes.
type fakeList struct {
	mu      sync.Mutex
	members []membership.Member
}

// Members returns the listed boxes.
func (l *fakeList) Members(context.Context) ([]membership.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members, nil
}

func (l *fakeList) set(members ...membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
}

// testEnv is an entry with links to fake boxes that serve a plain service.
type testEnv struct {
	t     *testing.T
	entry *Entry
	list  *fakeList
	boxes []*fakeBox
}

func newTestEnv(t *testing.T, responders ...responder) *testEnv {
	t.Helper()
	checks := new(invariant.Recorder)
	env := &testEnv{t: t, list: new(fakeList)}
	env.entry = New(Config{ID: "e", Fleet: fakeFleet, Checks: checks, List: env.list, ListInterval: listInterval})
	env.entry.follower.Update(fleet.Config{
		Fleet: fakeFleet, Revision: 1,
		Services: map[string]fleet.Service{fakeService: {Name: fakeService, Kind: fleet.KindPlain}},
	})
	var members []membership.Member
	for i, respond := range responders {
		env.boxes = append(env.boxes, newFakeBox(t, string(rune('a'+i)), "1", respond))
		members = append(members, env.boxes[i].member)
	}
	env.list.set(members...)
	for _, part := range []func(context.Context) error{env.entry.members.Serve, env.entry.boxes.Serve, env.entry.serveQueues} {
		go func() { _ = part(t.Context()) }()
	}
	t.Cleanup(func() {
		for _, broken := range checks.Violations() {
			t.Error(broken)
		}
	})
	env.waitFor(func() bool { return env.accepting() == len(responders) })
	return env
}

func newFakeBox(t *testing.T, id, incarnation string, respond responder) *fakeBox {
	t.Helper()
	b := &fakeBox{t: t, respond: respond}
	server := httptest.NewServer(b)
	t.Cleanup(server.CloseClientConnections)
	b.member = membership.Member{
		ID: id, Role: membership.RoleBox, Fleet: fakeFleet, Service: fakeService, Incarnation: incarnation,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
	return b
}

// request sends a repeatable request and returns the response, also one that was interrupted.
func (env *testEnv) request(timeout time.Duration) (got *httptest.ResponseRecorder) {
	env.t.Helper()
	got = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	env.entry.run(env.t.Context(), got, callerRequest{
		id: "r", service: env.entry.follower.Config().Services[fakeService], method: http.MethodGet, path: "/",
		header: http.Header{}, deadline: time.Now().Add(timeout), repeatable: true,
	})
	return got
}

// waitFor waits until a condition holds.
func (env *testEnv) waitFor(holds func() bool) {
	env.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(listInterval) {
		if time.Now().After(deadline) {
			env.t.Fatal("timed out waiting for a condition")
		}
	}
}

func (env *testEnv) accepting() int {
	return len(env.entry.boxes.candidates(env.entry.follower.Config().Services[fakeService], "", time.Now()))
}
