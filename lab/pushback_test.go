package lab

import (
	"net/http"
	"testing"
	"time"
)

// TestEnginesThatRestAreLeftAlone checks that after an engine's refusal with Retry-After its box reports no capacity,
// so that entries send requests to other boxes.
func TestEnginesThatRestAreLeftAlone(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 2, Sites: 1, TokenTime: time.Millisecond})
	declareServices(t, rig, 2)
	serveVersion(t, rig, "v1", 1, 2)
	caller := rig.Caller(0, 0)
	awaitAnswer(t, caller)
	paused := rig.Boxes[0].Engine
	paused.SetRetryAfter(time.Minute)
	refused := 0
	for range 60 {
		answer, err := caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "at rest", MaxTokens: 2})
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != http.StatusOK {
			refused++
		}
	}
	if got := paused.RefusedRequests(); got != 1 || refused != 1 {
		t.Errorf("%d requests reached the paused engine and %d callers were refused, want 1 of each", got, refused)
	}
}
