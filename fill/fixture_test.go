package fill

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

const (
	testModel     = "m"
	testPieces    = 16
	testBytes     = 2048
	originAddress = "origin"
)

func pieceData(version contract.Version, piece int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(piece)}, testBytes/2)
}

func manifestFor(version contract.Version) *Manifest {
	m := &Manifest{Model: testModel, Version: version, PieceBytes: testBytes}
	for piece := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(pieceData(version, piece)))
	}
	return m
}

// fakeOrigin serves all versions; corrupt selects the downloads that return corrupt data.
type fakeOrigin struct {
	mu                sync.Mutex
	downloads         map[contract.Version]int
	manifestDownloads map[contract.Version]int
	corrupt           func(download int) bool
	newest            contract.Version
	// unreachable makes all piece downloads fail.
	unreachable bool
	// away selects the pieces whose downloads fail.
	away func(version contract.Version, piece int) bool
}

func (o *fakeOrigin) Manifest(_ context.Context, _, _ string, version contract.Version) (*Manifest, error) {
	if version == 0 {
		version = o.newest
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.manifestDownloads == nil {
		o.manifestDownloads = make(map[contract.Version]int)
	}
	o.manifestDownloads[version]++
	return manifestFor(version), nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version contract.Version, piece int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.downloads == nil {
		o.downloads = make(map[contract.Version]int)
	}
	if o.unreachable || o.away != nil && o.away(version, piece) {
		return nil, &net.OpError{Op: opDial, Err: context.DeadlineExceeded}
	}
	o.downloads[version]++
	if o.corrupt != nil && o.corrupt(o.downloads[version]) {
		return []byte("corrupt"), nil
	}
	return pieceData(version, piece), nil
}

func (o *fakeOrigin) downloaded(version contract.Version) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.downloads[version]
}

// fakeEngine is a server that accepts pieces and orders; it fails the test when an ordered version is not staged completely.
type fakeEngine struct {
	t *testing.T

	mu     sync.Mutex
	pieces map[int][]byte
	loaded contract.Version
	seq    int64
	orders []contract.Version
	// loseReply loses the reply to the next order, which is accepted.
	loseReply bool
	// startedAt is the server's start time; neverLoad makes it accept orders without loading.
	startedAt int64
	neverLoad bool
}

func (e *fakeEngine) State(context.Context) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := State{Seq: e.seq, Born: e.startedAt}
	if e.loaded != 0 {
		state.Loaded = map[string]contract.Version{testModel: e.loaded}
	}
	return state, nil
}

func (e *fakeEngine) StagePiece(_ context.Context, _ string, piece int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pieces == nil {
		e.pieces = make(map[int][]byte)
	}
	e.pieces[piece] = data
	return nil
}

func (e *fakeEngine) ReadPiece(_ context.Context, _ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.pieces[piece]; ok {
		return data, nil
	}
	return nil, &NotHeldError{}
}

func (e *fakeEngine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range e.pieces {
		held = append(held, piece)
	}
	return held, nil
}

func (e *fakeEngine) StartLoad(_ context.Context, order Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Seq != e.seq {
		return &RefusedError{Reason: "another order came first"}
	}
	for piece := range testPieces {
		if !bytes.Equal(e.pieces[piece], pieceData(order.Version, piece)) {
			e.t.Errorf("version %d was ordered while piece %d was of another version", order.Version, piece)
		}
	}
	e.seq++
	if !e.neverLoad {
		e.loaded = order.Version
	}
	e.orders = append(e.orders, order.Version)
	if e.loseReply {
		e.loseReply = false
		return context.DeadlineExceeded
	}
	return nil
}

func (e *fakeEngine) loadedVersion() contract.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

func (e *fakeEngine) stageVersion(version contract.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces = make(map[int][]byte)
	for piece := range testPieces {
		e.pieces[piece] = pieceData(version, piece)
	}
}

// fakeSource returns a fixed list of servers and the versions sent on named.
type fakeSource struct {
	declared discovery.Declared
	servers  discovery.Servers
	named    chan contract.Target
	// listed delivers changed lists of servers; nil if the list does not change.
	listed chan discovery.Servers
}

func (s *fakeSource) Declared(context.Context) (discovery.Declared, error) { return s.declared, nil }

func (s *fakeSource) DeclaredAfter(ctx context.Context, _ discovery.Cursor, _ time.Duration) (discovery.Declared, error) {
	select {
	case target := <-s.named:
		return discovery.Declared{Targets: []contract.Target{target}}, nil
	case <-ctx.Done():
		return discovery.Declared{}, ctx.Err()
	}
}

func (s *fakeSource) Servers(context.Context) (discovery.Servers, error) { return s.servers, nil }

func (s *fakeSource) ServersAfter(ctx context.Context, _ discovery.Cursor, _ time.Duration) (discovery.Servers, error) {
	select {
	case servers := <-s.listed:
		return servers, nil
	case <-ctx.Done():
		return discovery.Servers{}, ctx.Err()
	}
}

// loadVersion makes the server hold and run a version.
func (e *fakeEngine) loadVersion(version contract.Version) {
	e.stageVersion(version)
	e.loaded = version
}

func (e *fakeEngine) corruptPiece(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces[piece] = []byte("corrupt")
}

// orderCount returns the number of accepted orders.
func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}
