package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

func TestRetryAfterFollowsReadiness(t *testing.T) {
	w := newModelTestEnv(t, "127.0.0.1:1", "127.0.0.1:2")
	for i := range 2 {
		w.entry.upstreams.applyReport(link.Report{Server: serverName(i), ReadyIn: 5 * time.Second}, time.Now())
	}
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	after := got.header.Get("Retry-After")
	if got.status != http.StatusServiceUnavailable || after < "5" || strings.HasPrefix(after, "7") {
		t.Errorf("status %d, Retry-After %s, want 5 to 7 s", got.status, after)
	}
}
