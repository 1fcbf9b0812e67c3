package fill

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/view"
)

const (
	testModel  = "m"
	testPieces = 16
	testBytes  = 2048
	originAt   = "origin"
)

// pieceOf is the content of a piece of a version.
func pieceOf(version contract.Version, piece int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(piece)}, testBytes/2)
}

func manifestFor(version contract.Version) *Manifest {
	m := &Manifest{Model: testModel, Version: version, PieceBytes: testBytes}
	for piece := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceOf(version, piece)))
	}
	return m
}

// fakeOrigin hands out all versions; spoil says which draws arrive spoilt.
type fakeOrigin struct {
	mu     sync.Mutex
	draws  map[contract.Version]int
	asked  map[contract.Version]int
	spoil  func(draw int) bool
	newest contract.Version
}

func (o *fakeOrigin) Manifest(_ context.Context, _, _ string, version contract.Version) (*Manifest, error) {
	if version == 0 {
		version = o.newest
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asked == nil {
		o.asked = make(map[contract.Version]int)
	}
	o.asked[version]++
	return manifestFor(version), nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version contract.Version, piece int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draws == nil {
		o.draws = make(map[contract.Version]int)
	}
	o.draws[version]++
	if o.spoil != nil && o.spoil(o.draws[version]) {
		return []byte("spoilt"), nil
	}
	return pieceOf(version, piece), nil
}

func (o *fakeOrigin) drawn(version contract.Version) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draws[version]
}

// fakeEngine is a server that takes pieces and orders; it fails the test when an order meets pieces that are not whole.
type fakeEngine struct {
	t *testing.T

	mu     sync.Mutex
	pieces map[int][]byte
	loaded contract.Version
	seq    int64
	orders []contract.Version
	// lose makes the next order's answer be lost, after it was taken.
	lose bool
}

func (e *fakeEngine) State(context.Context) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := State{Seq: e.seq}
	if e.loaded != 0 {
		state.Loaded = map[string]contract.Version{testModel: e.loaded}
	}
	return state, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, piece int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pieces == nil {
		e.pieces = make(map[int][]byte)
	}
	e.pieces[piece] = data
	return nil
}

func (e *fakeEngine) Staged(_ context.Context, _ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.pieces[piece]; ok {
		return data, nil
	}
	return nil, &NotHeldError{}
}

func (e *fakeEngine) Held(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range e.pieces {
		held = append(held, piece)
	}
	return held, nil
}

func (e *fakeEngine) Start(_ context.Context, order Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Seq != e.seq {
		return &RefusedError{Reason: "another order came first"}
	}
	for piece := range testPieces {
		if !bytes.Equal(e.pieces[piece], pieceOf(order.Version, piece)) {
			e.t.Errorf("version %d was ordered while piece %d was not its", order.Version, piece)
		}
	}
	e.seq++
	e.loaded = order.Version
	e.orders = append(e.orders, order.Version)
	if e.lose {
		e.lose = false
		return context.DeadlineExceeded
	}
	return nil
}

func (e *fakeEngine) runs() contract.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

func (e *fakeEngine) fillWith(version contract.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces = make(map[int][]byte)
	for piece := range testPieces {
		e.pieces[piece] = pieceOf(version, piece)
	}
}

// fakeSource tells one list of servers and the versions that are named.
type fakeSource struct {
	declared view.Declared
	servers  view.Servers
	named    chan contract.Target
}

func (s *fakeSource) Declared(context.Context) (view.Declared, error) { return s.declared, nil }

func (s *fakeSource) DeclaredAfter(ctx context.Context, _ view.Cursor, _ time.Duration) (view.Declared, error) {
	select {
	case target := <-s.named:
		return view.Declared{Targets: []contract.Target{target}}, nil
	case <-ctx.Done():
		return view.Declared{}, ctx.Err()
	}
}

func (s *fakeSource) Servers(context.Context) (view.Servers, error) { return s.servers, nil }

func (s *fakeSource) ServersAfter(ctx context.Context, _ view.Cursor, _ time.Duration) (view.Servers, error) {
	<-ctx.Done()
	return view.Servers{}, ctx.Err()
}

// site is boxes on loopback addresses of their own.
type site struct {
	t       *testing.T
	port    int
	origin  *fakeOrigin
	engines []*fakeEngine
	sources []*fakeSource
	config  *contract.Config
	servers view.Servers
	bound   time.Duration
}

func newSite(t *testing.T, boxes int, bound time.Duration) *site {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, origin: &fakeOrigin{newest: 1}, port: probe.Addr().(*net.TCPAddr).Port, bound: bound}
	_ = probe.Close()
	s.config = contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{
		{Name: "s", Engine: &contract.Engine{Models: []contract.Model{{Name: testModel}}}},
		{Name: "o", Origin: originAt, LinkRate: 1e9},
	}, nil)
	for i := range boxes {
		s.servers.Present = append(s.servers.Present, contract.Server{
			ID: fmt.Sprint("server", i), Service: "s", Address: s.host(i) + ":1", Site: fmt.Sprint("site", i%2),
		})
		s.engines = append(s.engines, &fakeEngine{t: t})
		s.sources = append(s.sources, &fakeSource{named: make(chan contract.Target, 4)})
	}
	return s
}

func (s *site) host(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// start runs one box until the returned function or the test ends it.
func (s *site) start(i int, target contract.Version) context.CancelFunc {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	source := s.sources[i]
	source.declared = view.Declared{Config: s.config}
	if target != 0 {
		source.declared.Targets = []contract.Target{{Model: testModel, Version: target}}
	}
	source.servers = s.servers
	v := view.New(source, view.Options{Log: logger, VersionBound: s.bound})
	m := machine.Machine{
		ID: fmt.Sprint("box", i), Address: s.host(i), Site: fmt.Sprint("site", i%2), Service: "s",
		UpstreamAt: s.host(i) + ":1", LinkPort: s.port, LinkRate: 1e8,
	}
	listener, err := net.Listen("tcp", m.LinkAt(m.Address))
	if err != nil {
		s.t.Fatal(err)
	}
	b := New(Config{Machine: m, View: v, Engine: s.engines[i], Origin: s.origin, Log: logger, Listener: listener})
	go func() { _ = v.ServeDeclared(ctx) }()
	go func() { _ = v.ServeServers(ctx) }()
	for _, part := range b.Parts() {
		go func() { _ = part.Run(ctx) }()
	}
	return cancel
}

func (s *site) startAll(target contract.Version) {
	for i := range s.engines {
		s.start(i, target)
	}
}

func (s *site) name(version contract.Version) {
	for _, source := range s.sources {
		source.named <- contract.Target{Model: testModel, Version: version}
	}
}

// wait waits until all servers run a version.
func (s *site) wait(version contract.Version, limit time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		done := true
		for _, engine := range s.engines {
			done = done && engine.runs() == version
		}
		if done {
			return
		}
	}
	for i, engine := range s.engines {
		s.t.Errorf("server %d runs version %d, want %d", i, engine.runs(), version)
	}
}

// runFrom has the server hold and run a version already.
func (e *fakeEngine) runFrom(version contract.Version) {
	e.fillWith(version)
	e.loaded = version
}

// startRunning runs all boxes, whose servers run version 1 already, and lets them settle.
func (s *site) startRunning() {
	for _, engine := range s.engines {
		engine.runFrom(1)
	}
	s.startAll(1)
	time.Sleep(300 * time.Millisecond)
}

// rot turns a piece that lies at the server bad.
func (e *fakeEngine) rot(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces[piece] = []byte("bad")
}
