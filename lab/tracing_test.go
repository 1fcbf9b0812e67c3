package lab

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/coralstair/coralstair/tracing"
)

// collector is a fake OTLP collector that records the span names of each trace.
type collector struct {
	mu    sync.Mutex
	spans map[string]map[string]bool
}

func (c *collector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req coltrace.ExportTraceServiceRequest
	if proto.Unmarshal(body, &req) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range req.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				trace := string(span.TraceId)
				if c.spans[trace] == nil {
					c.spans[trace] = make(map[string]bool)
				}
				c.spans[trace][span.Name] = true
			}
		}
	}
}

// has reports whether a single trace has all the spans.
func (c *collector) has(names ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, spans := range c.spans {
		all := true
		for _, name := range names {
			all = all && spans[name]
		}
		if all {
			return true
		}
	}
	return false
}

// TestTraces checks that a request has one trace with a span per hop, and that a rollout has its own spans.
func TestTraces(t *testing.T) {
	c := &collector{spans: make(map[string]map[string]bool)}
	server := httptest.NewServer(c)
	defer server.Close()
	shutdown, err := tracing.Setup(t.Context(), server.URL, "lab", "one")
	if err != nil {
		t.Fatal(err)
	}
	rig := startRig(t, RigConfig{Boxes: 1, Sites: 1})
	declareServices(t, rig, 1)
	serveVersion(t, rig, "v1", 1, 1)
	awaitAnswer(t, rig.Caller(0, 0))
	if err := shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !c.has("entry", "link", "box", "upstream") {
		t.Error("no trace has a span for each hop of a request")
	}
	if !c.has("draw") || !c.has("engine load") {
		t.Error("the rollout has no spans")
	}
}
