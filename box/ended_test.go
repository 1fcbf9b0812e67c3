package box

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/relay"
	"github.com/coralstair/coralstair/upstream"
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

// endWithoutLength relays a response without a length and returns its end.
func endWithoutLength(t *testing.T, b *Box) *link.End {
	t.Helper()
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
	return <-ends
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
			want := link.OutcomeRan
			if exits {
				want = link.OutcomeUnknown
			}
			if end := endWithoutLength(t, b); end.Outcome != want || (end.EndedIncarnation != "") != exits {
				t.Errorf("outcome %s, ended incarnation %q", end.Outcome, end.EndedIncarnation)
			}
		})
	}
}

// TestEndsAtAnotherEngineAreUnknown guards against reporting a response without a length as complete when its engine has exited and another
// one listens at the address.
func TestEndsAtAnotherEngineAreUnknown(t *testing.T) {
	loaded := upstream.Fence{Epoch: 1, Number: 4}
	for name, test := range map[string]struct {
		state upstream.State
		down  bool
		want  link.Outcome
	}{
		"the engine lives":              {state: upstream.State{Phase: upstream.PhaseReady, Fence: loaded}, want: link.OutcomeRan},
		"a restarted engine is empty":   {state: upstream.State{Phase: upstream.PhaseEmpty}, want: link.OutcomeUnknown},
		"a restarted engine has loaded": {state: upstream.State{Phase: upstream.PhaseReady, Fence: upstream.Fence{Epoch: 1, Number: 5}}, want: link.OutcomeUnknown},
		"the engine does not answer":    {down: true, want: link.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.down {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_ = json.NewEncoder(w).Encode(test.state)
			}))
			defer engine.Close()
			b := &Box{cfg: Config{ID: "b", Kind: fleet.KindModel, UpstreamURL: engine.URL}, pacer: &bandwidth.Pacer{}}
			b.loader = &loader{box: b, client: &upstream.Client{URL: engine.URL}, servedFence: loaded}
			if end := endWithoutLength(t, b); end.Outcome != test.want {
				t.Errorf("outcome %s, want %s", end.Outcome, test.want)
			}
		})
	}
}
