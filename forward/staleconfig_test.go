package forward

import (
	"net/http"
	"testing"
	"time"
)

// TestDenialsInDoubt checks that a configuration that may be outdated denies no request.
func TestDenialsInDoubt(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, respondOK)
	w := newTestEnv(t, true, server.address)
	asks := map[string]struct {
		path, key string
		status    int
	}{
		"unknown key":     {"/safe/a", "bad", http.StatusUnauthorized},
		"unknown route":   {"/none/a", "good", http.StatusNotFound},
		"allowed request": {"/safe/a", "good", http.StatusOK},
	}
	for name, ask := range asks {
		if got := w.ask(http.MethodGet, ask.path, "", map[string]string{"Key": ask.key}); got.status != ask.status {
			t.Errorf("%s: status %d, want %d", name, got.status, ask.status)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); !w.entry.cfg.View.MayBeStale() && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	for name, ask := range asks {
		want := http.StatusServiceUnavailable
		if ask.status == http.StatusOK {
			want = http.StatusOK
		}
		got := w.ask(http.MethodGet, ask.path, "", map[string]string{"Key": ask.key})
		if got.status != want || want != http.StatusOK && got.header.Get("Retry-After") == "" {
			t.Errorf("%s, configuration in doubt: status %d, Retry-After %q, want status %d", name, got.status, got.header.Get("Retry-After"), want)
		}
	}
}
