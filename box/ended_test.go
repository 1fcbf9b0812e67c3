package box

import (
	"net"
	"testing"
	"time"
)

// TestEndsOfTheUpstreamAreTold proves that entries hear whether the upstream has ended under a request, each end under a name of
// its own.
func TestEndsOfTheUpstreamAreTold(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Box{cfg: Config{ID: "b", Incarnation: "7", UpstreamURL: "http://" + listener.Addr().String()}}
	if end := b.lost("it broke off"); end.Ended != "" {
		t.Errorf("%q has ended while the upstream listens", end.Ended)
	}
	_ = listener.Close()
	first, second := b.lost("it broke off"), b.lost("it broke off")
	if first.Ended == "" || first.Ended != second.Ended {
		t.Errorf("one end is told as %q and %q", first.Ended, second.Ended)
	}
	if later := b.lives.name("b", "7", time.Now().Add(endLife)); later == first.Ended {
		t.Errorf("two ends are told as %q", later)
	}
}
