package fill

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// linkAsEntry links to a box as an entry does, and returns the services that the box follows on this link.
func linkAsEntry(t *testing.T, s *site, box int, id string) (conn *link.Conn, follows <-chan string) {
	t.Helper()
	conn, err := link.Dial(t.Context(), &http.Client{}, s.linkAt(box), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	if err := conn.Send(t.Context(), &link.Hello{ID: id, Role: link.RoleEntry, Site: "site0"}); err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 8)
	go func() {
		for {
			msg, err := conn.Receive()
			if err != nil {
				return
			}
			if follow, ok := msg.(*link.Follow); ok {
				asked <- follow.Service
			}
		}
	}()
	return conn, asked
}

func wantFollow(t *testing.T, follows <-chan string, service string, limit time.Duration) {
	t.Helper()
	select {
	case got := <-follows:
		if got != service {
			t.Fatalf("the box follows %q, want %q", got, service)
		}
	case <-time.After(limit):
		t.Fatalf("no request to follow %q within %s", service, limit)
	}
}

// TestEntryIsUsedAgainAfterItsStoreRecovers checks that a box returns to an entry whose store is back although no link changed.
func TestEntryIsUsedAgainAfterItsStoreRecovers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.relayed = true
	s.engines[0].loadVersion(1)
	s.start(0, 1)
	conn, follows := linkAsEntry(t, s, 0, "entry")
	wantFollow(t, follows, "s", time.Second)
	if err := conn.Send(t.Context(), &link.Declared{StoreLost: true}); err != nil {
		t.Fatal(err)
	}
	wantFollow(t, follows, "", time.Second)
	wantFollow(t, follows, "s", storeLostBackoff+2*time.Second)
}
