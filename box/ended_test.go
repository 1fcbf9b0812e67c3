package box

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/relay"
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

// endCollector collects the ends of responses sent on a link.
type endCollector chan *link.End

func (c endCollector) Send(_ context.Context, msg link.Message) error {
	if end, ok := msg.(*link.End); ok {
		c <- end
	}
	return nil
}

// TestResponsesCutByAnExitAreUnknown guards against reporting a response without a length as complete when its upstream has exited.
func TestResponsesCutByAnExitAreUnknown(t *testing.T) {
	for name, exits := range map[string]bool{"upstream exits": true, "upstream lives": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			if exits {
				_ = listener.Close()
			}
			b := &Box{cfg: Config{ID: "b", Incarnation: "7", UpstreamURL: "http://" + listener.Addr().String()}, pacer: &bandwidth.Pacer{}}
			ends := make(endCollector, 1)
			server := relay.NewServer(t.Context(), ends, func(_ context.Context, _ *link.Request, resp *relay.Responder) {
				upstreamResp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhel")), nil)
				if err != nil {
					t.Error(err)
					return
				}
				_ = resp.End(b.relayResponse(resp, upstreamResp, ServedVersion{}))
			})
			server.Handle(&link.Request{ID: 1, Credit: 1 << 10, Deadline: time.Second})
			want := link.OutcomeRan
			if exits {
				want = link.OutcomeUnknown
			}
			if end := <-ends; end.Outcome != want || (end.EndedIncarnation != "") != exits {
				t.Errorf("outcome %s, ended incarnation %q", end.Outcome, end.EndedIncarnation)
			}
		})
	}
}
