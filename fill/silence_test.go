package fill

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestNewLinkTakesThePlaceOfTheOld proves that an entry that opens a link anew is heard and told on that one, though the one
// before was never seen to end.
func TestNewLinkTakesThePlaceOfTheOld(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.told = true
	s.engines[0].runFrom(1)
	s.start(0, 1)
	_, follows := linkAs(t, s, 0, "entry")
	wantFollow(t, follows, "s", time.Second)
	_, follows = linkAs(t, s, 0, "entry")
	wantFollow(t, follows, "s", time.Second)
}

// silentBox holds all pieces and takes links, but gives nothing that is asked of it on the first of them.
type silentBox struct {
	links atomic.Int32
}

func (b *silentBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
				_ = conn.Send(r.Context(), &link.Chunk{Manifest: msg.Manifest, Chunk: msg.Chunk, Body: pieceOf(1, int(msg.Chunk))})
			}
		}
	}
}

// TestSilentLinkIsOpenedAnew proves that a link on which nothing comes any more does not keep a box from pieces that a new
// link brings.
func TestSilentLinkIsOpenedAnew(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.origin.away = true
	listener, err := net.Listen("tcp", s.linkAt(1))
	if err != nil {
		t.Fatal(err)
	}
	box := &silentBox{}
	server := &http.Server{Handler: box}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.start(0, 1)
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if s.engines[0].runs() == 1 {
			return
		}
	}
	t.Errorf("the pieces did not come within 8 s, over %d links", box.links.Load())
}
