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
	// listEvery is how often the entry reads the list of a test, fakeWait how long a test waits for the entry.
	listEvery = 10 * time.Millisecond
	fakeWait  = 5 * time.Second
)

// answering is what a box does with its nth request, from 1.
type answering func(b *fakeBox, n int, id uint64)

// fakeBox is a box at the other end of a link: it runs a request or says that it does not.
type fakeBox struct {
	t       *testing.T
	member  membership.Member
	answer  answering
	resumes bool

	mu       sync.Mutex
	conn     *link.Conn
	requests int
	cancels  int
}

// ServeHTTP takes the entry's link.
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
	b.tell(true, false)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		b.take(msg)
	}
}

func (b *fakeBox) take(msg link.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch m := msg.(type) {
	case *link.Request:
		b.requests++
		go b.answer(b, b.requests, m.ID)
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

func (b *fakeBox) asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// ended reports whether the entry has ended its link.
func (b *fakeBox) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conn.Context().Err() != nil
}

// tell has the entry hear what the box offers.
func (b *fakeBox) tell(open, leaving bool) {
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

// good answers a request whole.
func good(b *fakeBox, _ int, id uint64) {
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

// Members returns the list.
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

// boxWorld is an entry with links to boxes that serve a plain service.
type boxWorld struct {
	t     *testing.T
	entry *Entry
	list  *fakeList
	boxes []*fakeBox
}

func newBoxWorld(t *testing.T, answers ...answering) *boxWorld {
	t.Helper()
	checks := new(invariant.Recorder)
	w := &boxWorld{t: t, list: new(fakeList)}
	w.entry = New(Config{ID: "e", Fleet: fakeFleet, Checks: checks, List: w.list, ListInterval: listEvery})
	w.entry.follower.Offer(fleet.Config{
		Fleet: fakeFleet, Revision: 1,
		Services: map[string]fleet.Service{fakeService: {Name: fakeService, Kind: fleet.KindPlain}},
	})
	var members []membership.Member
	for i, answer := range answers {
		w.boxes = append(w.boxes, newFakeBox(t, string(rune('a'+i)), "1", answer))
		members = append(members, w.boxes[i].member)
	}
	w.list.set(members...)
	for _, part := range []func(context.Context) error{w.entry.members.Serve, w.entry.boxes.Serve, w.entry.serveQueues} {
		go func() { _ = part(t.Context()) }()
	}
	t.Cleanup(func() {
		for _, broken := range checks.Broken() {
			t.Error(broken)
		}
	})
	w.await(func() bool { return w.offering() == len(answers) })
	return w
}

func newFakeBox(t *testing.T, id, incarnation string, answer answering) *fakeBox {
	t.Helper()
	b := &fakeBox{t: t, answer: answer}
	server := httptest.NewServer(b)
	t.Cleanup(server.CloseClientConnections)
	b.member = membership.Member{
		ID: id, Role: membership.RoleBox, Fleet: fakeFleet, Service: fakeService, Incarnation: incarnation,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
	return b
}

// ask sends a repeatable request and returns what the caller got, also of an answer that the entry broke off.
func (w *boxWorld) ask(patience time.Duration) (got *httptest.ResponseRecorder) {
	w.t.Helper()
	got = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	w.entry.run(w.t.Context(), got, callerRequest{
		id: "r", service: w.entry.follower.Config().Services[fakeService], method: http.MethodGet, path: "/",
		header: http.Header{}, deadline: time.Now().Add(patience), repeatable: true,
	})
	return got
}

// await waits until something holds.
func (w *boxWorld) await(holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(fakeWait); !holds(); time.Sleep(listEvery) {
		if time.Now().After(deadline) {
			w.t.Fatal("waited in vain")
		}
	}
}

func (w *boxWorld) offering() int {
	return len(w.entry.boxes.candidates(w.entry.follower.Config().Services[fakeService], "", time.Now()))
}
