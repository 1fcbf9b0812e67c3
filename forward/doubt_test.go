package forward

import (
	"net/http"
	"testing"
	"time"
)

// TestDenialsInDoubt proves that a caller is not denied by a configuration that may no longer be the one in force.
func TestDenialsInDoubt(t *testing.T) {
	t.Parallel()
	server := newFake(t, good)
	w := newWorld(t, true, server.address)
	asks := map[string]struct {
		path, key string
		sure      int
	}{
		"a key that is not known":   {"/safe/a", "bad", http.StatusUnauthorized},
		"a route that is not known": {"/none/a", "good", http.StatusNotFound},
		"what is allowed":           {"/safe/a", "good", http.StatusOK},
	}
	for name, ask := range asks {
		if got := w.ask(http.MethodGet, ask.path, "", map[string]string{"Key": ask.key}); got.status != ask.sure {
			t.Errorf("%s: status %d, want %d", name, got.status, ask.sure)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); !w.entry.cfg.View.Doubtful() && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	for name, ask := range asks {
		want := http.StatusServiceUnavailable
		if ask.sure == http.StatusOK {
			want = http.StatusOK
		}
		got := w.ask(http.MethodGet, ask.path, "", map[string]string{"Key": ask.key})
		if got.status != want || want != http.StatusOK && got.header.Get("Retry-After") == "" {
			t.Errorf("%s, in doubt: status %d, come back after %q, want status %d", name, got.status, got.header.Get("Retry-After"), want)
		}
	}
}
