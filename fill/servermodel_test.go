package fill

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
)

const (
	// decayGrace is how old a decayed piece may be when an order is taken.
	decayGrace = 3 * time.Second
	// closedCallTime is how long after its connection was closed the server may still carry out a call.
	closedCallTime = 900 * time.Millisecond
	modelLoadTime  = 300 * time.Millisecond
)

var errServerExited = errors.New("the server has exited")

// callDelay is how long a call waits before the server carries it out, and how long the reply takes afterwards.
type callDelay struct{ before, after time.Duration }

// serverModel is a server in virtual time. It carries out calls late, also when their caller has given up, and records each order
// that it takes while a piece is not of the ordered version.
type serverModel struct {
	trace *trace

	mu sync.Mutex
	// delay returns the delays of a call; piece is negative for calls that concern none.
	delay func(call string, piece int) callDelay
	// afterRead is called after a piece was read.
	afterRead func(piece int)
	// keepsID is set if the server restarts under its id.
	keepsID bool
	born    int64
	seq     int64
	busy    bool
	loaded  contract.Version
	pieces  map[int][]byte
	// decayedAt is when a piece that was correct turned bad.
	decayedAt map[int]time.Time
	orders    []contract.Version
	wrong     []string
}

func newServerModel(t *trace) *serverModel {
	return &serverModel{trace: t, born: 1, pieces: make(map[int][]byte), decayedAt: make(map[int]time.Time)}
}

// callServer carries out a call after its delay, unless the server has restarted or the caller gave up too long ago.
func callServer[T any](ctx context.Context, s *serverModel, name string, piece int, do func() (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	var d callDelay
	s.mu.Lock()
	if s.delay != nil {
		d = s.delay(name, piece)
	}
	born := s.born
	s.mu.Unlock()
	replies := make(chan reply, 1)
	var closedAt atomic.Pointer[time.Time]
	go func() {
		time.Sleep(d.before)
		at := closedAt.Load()
		r := reply{err: errServerExited}
		s.mu.Lock()
		if s.born == born && (at == nil || time.Since(*at) <= closedCallTime) {
			r.value, r.err = do()
		}
		s.mu.Unlock()
		if name == "order" || name == "stage" || r.err != nil {
			s.trace.addf("%s %d carried out, given up %t: %v", name, piece, at != nil, r.err)
		}
		time.Sleep(d.after)
		replies <- r
	}()
	select {
	case r := <-replies:
		return r.value, r.err
	case <-ctx.Done():
		now := time.Now()
		closedAt.Store(&now)
		return *new(T), ctx.Err()
	}
}

func (s *serverModel) State(ctx context.Context) (State, error) {
	return callServer(ctx, s, "state", -1, func() (State, error) {
		state := State{Seq: s.seq, Born: s.born, Busy: s.busy}
		if s.loaded != 0 {
			state.Loaded = map[string]contract.Version{testModel: s.loaded}
		}
		return state, nil
	})
}

func (s *serverModel) StagePiece(ctx context.Context, _ string, piece int, data []byte) error {
	_, err := callServer(ctx, s, "stage", piece, func() (struct{}, error) {
		s.pieces[piece] = data
		delete(s.decayedAt, piece)
		return struct{}{}, nil
	})
	return err
}

func (s *serverModel) ReadPiece(ctx context.Context, _ string, piece int) ([]byte, error) {
	return callServer(ctx, s, "read", piece, func() ([]byte, error) {
		data, ok := s.pieces[piece]
		if !ok {
			return nil, &NotHeldError{}
		}
		if s.afterRead != nil {
			s.afterRead(piece)
		}
		return data, nil
	})
}

func (s *serverModel) StagedPieces(ctx context.Context, _ string) ([]int, error) {
	return callServer(ctx, s, "list", -1, func() (held []int, err error) {
		for piece := range testPieces {
			if s.pieces[piece] != nil {
				held = append(held, piece)
			}
		}
		return held, nil
	})
}

func (s *serverModel) StartLoad(ctx context.Context, order Order) error {
	_, err := callServer(ctx, s, "order", -1, func() (struct{}, error) {
		if order.Server != "" && order.Server != s.id() {
			return struct{}{}, &OtherServerError{}
		}
		if order.Seq != s.seq || s.busy {
			return struct{}{}, &RefusedError{Reason: "another order came first"}
		}
		s.checkPieces(order.Version)
		s.seq++
		s.busy = true
		s.orders = append(s.orders, order.Version)
		go s.load(s.born, order.Version)
		return struct{}{}, nil
	})
	return err
}

// id returns the id of the server's incarnation; mu is held.
func (s *serverModel) id() string {
	if s.keepsID {
		return "server"
	}
	return fmt.Sprint("server", s.born)
}

// checkPieces records the pieces that are not of an ordered version; mu is held.
func (s *serverModel) checkPieces(version contract.Version) {
	for piece := range testPieces {
		decayedAt, decayed := s.decayedAt[piece]
		if !bytes.Equal(s.pieces[piece], pieceData(version, piece)) && !(decayed && time.Since(decayedAt) <= decayGrace) {
			s.wrong = append(s.wrong, fmt.Sprintf("version %d was ordered with a wrong piece %d", version, piece))
		}
	}
}

func (s *serverModel) load(born int64, version contract.Version) {
	time.Sleep(modelLoadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.born == born {
		s.loaded, s.busy = version, false
	}
}

// setDelay changes the delays of calls.
func (s *serverModel) setDelay(delay func(call string, piece int) callDelay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// stageVersion makes the server hold all pieces of a version.
func (s *serverModel) stageVersion(version contract.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for piece := range testPieces {
		s.pieces[piece] = pieceData(version, piece)
	}
}

// decay makes a piece turn bad; mu is held.
func (s *serverModel) decay(piece int) {
	if _, bad := s.decayedAt[piece]; !bad && s.pieces[piece] != nil {
		s.pieces[piece] = []byte("corrupt")
		s.trace.addf("piece %d turns bad", piece)
		s.decayedAt[piece] = time.Now()
	}
}

// restart starts the server again with nothing loaded; without power it loses its pieces too. mu is held.
func (s *serverModel) restart(losePower bool) {
	s.born++
	s.trace.addf("the server restarts as %s, without pieces %t", s.id(), losePower)
	s.seq, s.busy, s.loaded = 0, false, 0
	if losePower {
		clear(s.pieces)
		clear(s.decayedAt)
	}
}

func (s *serverModel) loadedVersion() contract.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *serverModel) orderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders)
}

// killableEngine ends the calls of a box when it is killed.
type killableEngine struct {
	*serverModel
	killed context.Context
}

func (e *killableEngine) context(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(e.killed, cancel)
	return ctx
}

func (e *killableEngine) State(ctx context.Context) (State, error) {
	return e.serverModel.State(e.context(ctx))
}

func (e *killableEngine) StagePiece(ctx context.Context, model string, piece int, data []byte) error {
	return e.serverModel.StagePiece(e.context(ctx), model, piece, data)
}

func (e *killableEngine) ReadPiece(ctx context.Context, model string, piece int) ([]byte, error) {
	return e.serverModel.ReadPiece(e.context(ctx), model, piece)
}

func (e *killableEngine) StartLoad(ctx context.Context, order Order) error {
	return e.serverModel.StartLoad(e.context(ctx), order)
}

// trace collects what happens in a play, to be shown if it fails.
type trace struct {
	mu    sync.Mutex
	lines []string
}

func (t *trace) addf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// HandleLog adds an entry of a box's log.
func (t *trace) HandleLog(e *log.Entry) error {
	t.addf("%s %v", e.Message, e.Fields)
	return nil
}

// loneBox runs a box without neighbours beside a serverModel; all of it may be used in a bubble of virtual time.
type loneBox struct {
	t      *testing.T
	trace  *trace
	server *serverModel
	origin *fakeOrigin
	// linkRate is that of the origin, bound the time for which an older version may be used.
	linkRate float64
	bound    time.Duration
	newest   contract.Version

	box    *Box
	source *fakeSource
	end    context.CancelFunc
}

func newLoneBox(t *testing.T) *loneBox {
	lines := &trace{}
	l := &loneBox{t: t, trace: lines, server: newServerModel(lines), origin: &fakeOrigin{newest: 1}, linkRate: 1e9, bound: 8 * time.Second}
	t.Cleanup(func() {
		l.stop()
		// The goroutines of a bubble of virtual time must end within it.
		time.Sleep(10 * time.Second)
		if t.Failed() {
			t.Log(strings.Join(lines.lines, "\n"))
		}
	})
	return l
}

// start starts the box when a version is the newest one.
func (l *loneBox) start(newest contract.Version) {
	l.newest = newest
	l.trace.addf("the box starts, version %d is the newest", newest)
	ctx, cancel := context.WithCancel(context.Background())
	l.end = cancel
	m := machine.Machine{ID: "box", Address: "127.0.7.1", Site: "site", Service: "s", UpstreamAddress: "127.0.7.1:1", LinkRate: 1e8}
	l.source = &fakeSource{named: make(chan contract.Target, 100), listed: make(chan discovery.Servers, 100)}
	l.source.declared = discovery.Declared{
		Config: contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{
			{Name: "s", Engine: &contract.Engine{Models: []contract.Model{{Name: testModel}}}},
			{Name: "o", Origin: originAddress, LinkRate: l.linkRate},
		}, nil),
		Targets: []contract.Target{{Model: testModel, Version: newest}},
	}
	l.source.servers.Present = []contract.Server{{ID: l.server.id(), Service: "s", Address: m.UpstreamAddress, Site: m.Site}}
	logger := &log.Logger{Handler: l.trace, Level: log.InfoLevel}
	v := discovery.New(l.source, discovery.Options{Log: logger, VersionBound: l.bound})
	l.box = New(Config{Machine: m, View: v, Engine: &killableEngine{l.server, ctx}, Origin: l.origin, Log: logger})
	for _, run := range []func(context.Context) error{v.ServeDeclared, v.ServeServers, l.box.runSteps, l.box.runLoads, l.box.runReports} {
		go func() { _ = run(ctx) }()
	}
}

// stop kills the box.
func (l *loneBox) stop() {
	if l.end != nil {
		l.trace.addf("the box is killed")
		l.end()
	}
}

// name names a newer version.
func (l *loneBox) name(version contract.Version) {
	l.newest = version
	l.trace.addf("version %d is named", version)
	l.source.named <- contract.Target{Model: testModel, Version: version}
}

// waitFor waits until done returns true.
func (l *loneBox) waitFor(what string, done func() bool) {
	l.t.Helper()
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			l.t.Fatalf("not within a minute: %s", what)
		}
	}
}

// check waits until the server runs the newest version and reports the orders taken with wrong pieces.
func (l *loneBox) check() {
	l.t.Helper()
	l.waitFor("the server runs the newest version", func() bool { return l.server.loadedVersion() == l.newest })
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	for _, wrong := range l.server.wrong {
		l.t.Error(wrong)
	}
}
