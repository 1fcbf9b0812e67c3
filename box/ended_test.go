package box

import (
	"net"
	"testing"
	"time"
)

// TestUpstreamExitsAreReported checks that entries learn whether the upstream exited during a request, and which incarnation it was.
func TestUpstreamExitsAreReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Box{cfg: Config{ID: "b", Incarnation: "7", UpstreamURL: "http://" + listener.Addr().String()}}
	if end := b.connectionLost("it broke off"); end.EndedIncarnation != "" {
		t.Errorf("%q is reported as ended while the upstream listens", end.EndedIncarnation)
	}
	_ = listener.Close()
	first, second := b.connectionLost("it broke off"), b.connectionLost("it broke off")
	if first.EndedIncarnation == "" || first.EndedIncarnation != second.EndedIncarnation {
		t.Errorf("one end is reported as %q and %q", first.EndedIncarnation, second.EndedIncarnation)
	}
	if later := b.incarnations.endedName("b", "7", time.Now().Add(endWindow)); later == first.EndedIncarnation {
		t.Errorf("two ends are reported as %q", later)
	}
}
