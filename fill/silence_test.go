package fill

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestNewLinkTakesThePlaceOfTheOld checks that an entry's new link is used although its old one was never seen to end.
func TestNewLinkTakesThePlaceOfTheOld(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.relayed = true
	s.engines[0].loadVersion(1)
	s.start(0, 1)
	_, follows := linkAsEntry(t, s, 0, "entry")
	wantFollow(t, follows, "s", time.Second)
	_, follows = linkAsEntry(t, s, 0, "entry")
	wantFollow(t, follows, "s", time.Second)
}

// silentPeer is a box that holds all pieces but sends none of them on its first link.
type silentPeer struct {
	links atomic.Int32
}

func (b *silentPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.Close()
	first := b.links.Add(1) == 1
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *link.Have:
			if msg.Reset {
				have := &link.Have{Manifest: msg.Manifest, Reset: true}
				for piece := range testPieces {
					have.Chunks = append(have.Chunks, uint32(piece))
				}
				_ = conn.Send(r.Context(), have)
			}
		case *link.Want:
			if !first {
				_ = conn.Send(r.Context(), &link.Chunk{Manifest: msg.Manifest, Chunk: msg.Chunk, Body: pieceData(1, int(msg.Chunk))})
			}
		}
	}
}

// TestSilentLinkIsOpenedAnew checks that a silent link is redialled, so that it does not block pieces.
func TestSilentLinkIsOpenedAnew(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.origin.unreachable = true
	listener, err := net.Listen("tcp", s.linkAt(1))
	if err != nil {
		t.Fatal(err)
	}
	box := &silentPeer{}
	server := &http.Server{Handler: box}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.start(0, 1)
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if s.engines[0].loadedVersion() == 1 {
			return
		}
	}
	t.Errorf("the pieces did not come within 8 s, over %d links", box.links.Load())
}
