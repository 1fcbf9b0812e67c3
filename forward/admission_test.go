package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/link"
)

// TestFirstTriesGoBeforeRetries checks that under load a retry is refused while first tries are admitted, whatever the callers'
// timeouts.
func TestFirstTriesGoBeforeRetries(t *testing.T) {
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newModelTestEnv(t, server.address)
	ask := func(body string, wait time.Duration) int {
		headers := map[string]string{"Wait": strconv.FormatInt(wait.Milliseconds(), 10)}
		return w.ask(http.MethodPost, "/stream/a", body, headers).status
	}
	reportWaiting := func(waiting int) {
		w.entry.upstreams.applyReport(link.Report{
			Server: serverName(0), Model: testModel, Version: 1, Running: 8, Waiting: waiting,
		}, time.Now())
	}
	reportWaiting(14)
	if long, short := ask("x", 6*time.Second), ask("y", 5*time.Second); long == http.StatusServiceUnavailable || short == http.StatusServiceUnavailable {
		t.Fatalf("first tries got status %d and %d while there is room", long, short)
	}
	reportWaiting(200)
	began := time.Now()
	for i := range 40 {
		if got := ask("refused"+strconv.Itoa(i), 6*time.Second); got != http.StatusServiceUnavailable {
			t.Fatalf("first try got status %d without any room", got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	reportWaiting(14)
	if got := ask("refused0", 6*time.Second-time.Since(began)); got != http.StatusServiceUnavailable {
		t.Errorf("retry got status %d while first tries are refused", got)
	}
	if got := ask("z", 5*time.Second); got == http.StatusServiceUnavailable {
		t.Error("first try with a shorter timeout was refused like the retries")
	}
}

// TestPeersLearnOfRefusals checks that a refused request becomes known to the other entries of the site.
func TestPeersLearnOfRefusals(t *testing.T) {
	env := newSiteEnv(t, 3)
	now := time.Now()
	refusal := admission.Refusal{Fingerprint: 7, FirstTry: now, Deadline: now.Add(5 * time.Second)}
	for _, e := range env.entries {
		go func() { _ = e.peers.serve(t.Context()) }()
	}
	env.entries[0].peers.add(refusal, now)
	for i, e := range env.entries {
		known := false
		for deadline := now.Add(2 * time.Second); !known && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			_, known = e.retryDetector.Match(refusal.Fingerprint, refusal.Deadline, time.Now())
		}
		if !known {
			t.Errorf("entry %d does not know the refused request", i)
		}
	}
}
