package fill

import (
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// evacuationsOf returns the evacuated sites that a box tells an entry on a link.
func evacuationsOf(conn *link.Conn) <-chan []string {
	told := make(chan []string, 8)
	go func() {
		for {
			msg, err := conn.Receive()
			if err != nil {
				return
			}
			if m, ok := msg.(*link.Evacuations); ok {
				told <- m.Known.Sites
			}
		}
	}()
	return told
}

// TestBoxTellsEvacuations checks that an evacuation that one entry knows reaches the other entries of a box, those linked later too, and
// that it is taken back alike.
func TestBoxTellsEvacuations(t *testing.T) {
	s := newSite(t, 1, time.Minute)
	s.start(0, 1)
	knows, hears := s.dialAsEntry("knows"), s.dialAsEntry("hears")
	told := evacuationsOf(hears)
	for i, sites := range [][]string{{"a"}, {"a", "b"}, {}} {
		known := discovery.Evacuations{AsOf: discovery.Cursor{Position: int64(1000 + i)}, Sites: sites}
		if err := knows.Send(t.Context(), &link.Evacuations{Known: known}); err != nil {
			t.Fatal(err)
		}
		awaitSites(t, told, sites)
		if len(sites) > 0 {
			awaitSites(t, evacuationsOf(s.dialAsEntry("late")), sites)
		}
	}
}

// awaitSites waits until these sites are told.
func awaitSites(t *testing.T, told <-chan []string, sites []string) {
	t.Helper()
	limit := time.After(2 * time.Second)
	for {
		select {
		case got := <-told:
			if slices.Equal(got, sites) {
				return
			}
		case <-limit:
			t.Fatalf("%v was not told", sites)
		}
	}
}
