package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/problem"
)

// testTimeout bounds every wait for a condition that must become true.
const testTimeout = 2 * time.Minute

// TestMain silences the daemons' logs.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}

func startRig(t *testing.T, cfg RigConfig) *Rig {
	t.Helper()
	rig, err := NewRig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		rig.Close()
		for _, broken := range rig.Checks.Violations() {
			t.Error(broken)
		}
	})
	return rig
}

// serveVersion publishes and declares a version, waits until n boxes serve it, and returns the digest of its weights.
func serveVersion(t *testing.T, rig *Rig, name string, seed uint64, n int) string {
	t.Helper()
	digest, manifest, err := rig.Publish(t.Context(), name, 256<<10, 16<<10, seed)
	if err != nil {
		t.Fatal(err)
	}
	if err := rig.Do(t.Context(), fmt.Sprintf("declare version %s of %s in %s digest %s", name, RigService, RigFleet, digest)); err != nil {
		t.Fatal(err)
	}
	weightsDigest := manifest.Whole.String()
	if !rig.Wait(testTimeout, func() bool { return rig.CountServing(weightsDigest) >= n }) {
		t.Fatalf("%s is served by %d of %d boxes", name, rig.CountServing(weightsDigest), n)
	}
	return weightsDigest
}

func declareServices(t *testing.T, rig *Rig, boxes int) {
	t.Helper()
	if !rig.Wait(testTimeout, func() bool { return rig.Do(t.Context(), "create fleet "+RigFleet) == nil }) {
		t.Fatal("no entry takes statements")
	}
	if err := rig.Do(t.Context(),
		fmt.Sprintf("create service %s in %s kind model replicas %d", RigService, RigFleet, boxes),
		fmt.Sprintf("create service %s in %s kind plain replicas 1 once", RigLedger, RigFleet),
		fmt.Sprintf("set rollout-share of service %s in %s to 50", RigService, RigFleet),
	); err != nil {
		t.Fatal(err)
	}
}

// awaitAnswer waits until an entry answers a chat request.
func awaitAnswer(t *testing.T, caller *Caller) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		answer, err := caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "ready?", MaxTokens: 1})
		if err == nil && answer.Status == http.StatusOK {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("no answer")
}

// TestRolloutFaults rolls out a version under live requests with each fault and with all: all surviving boxes must
// serve it, no answer may be mixed or wrong, and no request may fail unless connections or boxes are lost.
func TestRolloutFaults(t *testing.T) {
	all := []string{FaultCorrupt, FaultStall, FaultDie, FaultNewVersion, FaultOutage, FaultCut}
	for name, tc := range map[string]struct {
		faults  []string
		prefer  fleet.Preference
		mayFail bool
	}{
		"none":       {prefer: fleet.PreferOriginBytes},
		"none, time": {prefer: fleet.PreferTime},
		"corrupt":    {faults: all[:1]},
		"stall":      {faults: all[1:2]},
		"die":        {faults: all[2:3], mayFail: true},
		"newversion": {faults: all[3:4]},
		"outage":     {faults: all[4:5]},
		"cut":        {faults: all[5:], mayFail: true},
		"all":        {faults: all, mayFail: true},
		"all, time":  {faults: all, prefer: fleet.PreferTime, mayFail: true},
	} {
		t.Run(name, func(t *testing.T) {
			prefer := tc.prefer
			if prefer == "" {
				prefer = fleet.PreferOriginBytes
			}
			result, err := Rollout(t.Context(), RolloutConfig{
				Boxes: 9, Sites: 3, Size: 1 << 20, ChunkSize: 16 << 10, OriginCopies: 4, BoxCopies: 2,
				Window: 2 * time.Second, Prefer: prefer, Policy: PolicySwarm, Faults: tc.faults, Live: 20, Seed: 7, Limit: testTimeout,
			})
			if err != nil {
				t.Fatal(err)
			}
			if !result.AllServing || result.MixedAnswers > 0 || result.PartialServed > 0 || result.InvariantsBroken > 0 {
				t.Errorf("result %+v", result)
			}
			if !tc.mayFail && result.LiveFailed > 0 {
				t.Errorf("%d of %d live requests failed", result.LiveFailed, result.LiveRequests)
			}
			if result.OriginCopies > 4 && len(tc.faults) == 0 {
				t.Errorf("%.2f copies downloaded from the origin", result.OriginCopies)
			}
		})
	}
}

// TestDriveFaults sends mixed load under each fault and with all: no answer may be wrong, no once-only request may run
// twice, and no request reported as not-run may have run.
func TestDriveFaults(t *testing.T) {
	all := []string{FaultKill, FaultStall, FaultFreeze, FaultLeave, FaultOutage, FaultLag}
	cases := map[string][]string{"none": nil, "all": all}
	for _, fault := range all {
		cases[fault] = []string{fault}
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			result, err := Drive(t.Context(), DriveConfig{
				Entries: 2, Boxes: 4, RPS: 60, Duration: 3 * time.Second, Teams: 4, OnceShare: 0.3, Faults: faults,
				Policy: "coralstair", Seed: 11,
			})
			if err != nil {
				t.Fatal(err)
			}
			if result.WrongAnswers+result.RepeatedRuns+result.RanAfterNotRun+result.InvariantsBroken > 0 {
				t.Errorf("result %+v", result)
			}
			mayTruncate := name == FaultKill || name == FaultFreeze || name == "all"
			if !mayTruncate && result.CutAnswers > 0 {
				t.Errorf("%d truncated answers", result.CutAnswers)
			}
		})
	}
}

// TestPlannedStop stops a box that serves a long stream: the stream must complete, and the box must get no new requests
// until it is started again.
func TestPlannedStop(t *testing.T) {
	rig, caller, busy, await := startLongStream(t, 1)
	if err := rig.Do(t.Context(), fmt.Sprintf("stop box %s in %s", busy.ID, RigFleet)); err != nil {
		t.Fatal(err)
	}
	stopped := func() bool { return !busy.Daemon().Heartbeat().Service.Open }
	if !rig.Wait(testTimeout, stopped) {
		t.Fatal("the box still accepts requests")
	}
	for i := range 10 {
		other, err := caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: fmt.Sprint("short", i), MaxTokens: 1})
		if err != nil || other.Status != http.StatusOK || other.Box == busy.ID {
			t.Errorf("answer %+v, %v; want an answer from the other box", other, err)
		}
	}
	if answer, err := await(); err != nil || answer.Tokens != 151 || answer.Box != busy.ID {
		t.Errorf("stream of %d tokens from %s: %v", answer.Tokens, answer.Box, err)
	}
	if err := rig.Do(t.Context(), fmt.Sprintf("start box %s in %s", busy.ID, RigFleet)); err != nil {
		t.Fatal(err)
	}
	if !rig.Wait(testTimeout, func() bool { return busy.Daemon().Heartbeat().Service.Open }) {
		t.Error("the box does not serve after it was started again")
	}
}

// TestEvacuatedSite evacuates the site of a box that serves a long stream: the stream must complete, and the site must get no new requests
// until that is taken back.
func TestEvacuatedSite(t *testing.T) {
	rig, caller, busy, await := startLongStream(t, 2)
	if err := rig.Do(t.Context(), fmt.Sprintf("evacuate site %s in %s", busy.Site, RigFleet)); err != nil {
		t.Fatal(err)
	}
	elsewhere := 0
	if !rig.Wait(testTimeout, func() bool {
		other, err := caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "probe", MaxTokens: 1})
		if elsewhere++; err != nil || other.Box == busy.ID {
			elsewhere = 0
		}
		return elsewhere > 10
	}) {
		t.Fatal("the evacuated site still gets requests")
	}
	if answer, err := await(); err != nil || answer.Tokens != 151 || answer.Box != busy.ID {
		t.Errorf("stream of %d tokens from %s: %v", answer.Tokens, answer.Box, err)
	}
	if err := rig.Do(t.Context(), fmt.Sprintf("return site %s in %s", busy.Site, RigFleet)); err != nil {
		t.Fatal(err)
	}
	if !rig.Wait(testTimeout, func() bool {
		other, err := caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "probe", MaxTokens: 1})
		return err == nil && other.Box == busy.ID
	}) {
		t.Error("the site gets no requests after its evacuation was taken back")
	}
}

// TestStreamGoesOn kills the box that serves a long stream: another box of the same version must resume it, and the
// caller must receive every token exactly once.
func TestStreamGoesOn(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 2, Sites: 1, TokenTime: 10 * time.Millisecond})
	declareServices(t, rig, 2)
	serveVersion(t, rig, "v1", 1, 2)
	caller := rig.Caller(0, 0)
	awaitAnswer(t, caller)
	var answer Answer
	var err error
	var streaming sync.WaitGroup
	streaming.Go(func() {
		answer, err = caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "long", MaxTokens: 100, Stream: true})
	})
	busy := busyBox(rig)
	time.Sleep(200 * time.Millisecond)
	busy.Kill()
	streaming.Wait()
	if err != nil || answer.Tokens != 101 {
		t.Errorf("stream of %d tokens, begun at the killed %s: %v", answer.Tokens, answer.Box, err)
	}
}

// startLongStream starts a rig of two boxes and a long stream, and returns the box that serves it; await waits for the stream's end.
func startLongStream(t *testing.T, sites int) (rig *Rig, caller *Caller, busy *RigBox, await func() (Answer, error)) {
	t.Helper()
	rig = startRig(t, RigConfig{Boxes: 2, Sites: sites, TokenTime: 10 * time.Millisecond})
	declareServices(t, rig, 2)
	serveVersion(t, rig, "v1", 1, 2)
	caller = rig.Caller(0, 0)
	awaitAnswer(t, caller)
	var answer Answer
	var err error
	var streaming sync.WaitGroup
	streaming.Go(func() {
		answer, err = caller.Chat(t.Context(), ChatCall{Service: RigService, Prompt: "long", MaxTokens: 150, Stream: true})
	})
	return rig, caller, busyBox(rig), func() (Answer, error) {
		streaming.Wait()
		return answer, err
	}
}

// busyBox waits for a box with a request in progress.
func busyBox(rig *Rig) *RigBox {
	var busy *RigBox
	rig.Wait(testTimeout, func() bool {
		for _, b := range rig.Boxes {
			if b.Daemon().Heartbeat().Load > 0 {
				busy = b
			}
		}
		return busy != nil
	})
	return busy
}

// TestOnce sends one idempotency key to two entries concurrently: the request must run once, later requests must get the
// stored response, and the key with another body must be refused.
func TestOnce(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 1, Sites: 1, Entries: 2, PlainBoxes: 1})
	declareServices(t, rig, 1)
	ready := func() bool {
		for e := range rig.Entries {
			answer, err := rig.Caller(0, e).Plain(t.Context(), RigLedger, "/ping", nil, ChatCall{ID: fmt.Sprint("ping", time.Now().UnixNano())})
			if err != nil || answer.Status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !rig.Wait(testTimeout, ready) {
		t.Fatal("the ledger does not answer")
	}
	call := ChatCall{ID: "slot-1", IdempotencyKey: "slot-1"}
	var sending sync.WaitGroup
	for i := range 8 {
		sending.Go(func() {
			_, _ = rig.Caller(0, i%2).Plain(context.Background(), RigLedger, "/slots", []byte("slot 1"), call)
		})
	}
	sending.Wait()
	runs := &rig.Boxes[1].Plain.Runs
	if n := runs.Count("slot-1"); n != 1 {
		t.Errorf("the submission ran %d times", n)
	}
	repeated, err := rig.Caller(0, 1).Plain(t.Context(), RigLedger, "/slots", []byte("slot 1"), call)
	if err != nil || repeated.Status != http.StatusOK || repeated.Outcome != "ran" || runs.Count("slot-1") != 1 {
		t.Errorf("later request: %+v, %v", repeated, err)
	}
	other, err := rig.Caller(0, 0).Plain(t.Context(), RigLedger, "/slots", []byte("slot 2"), call)
	if err != nil || other.Status != http.StatusUnprocessableEntity || other.Outcome != "not-run" {
		t.Errorf("another body with the same key: %+v, %v", other, err)
	}
	rig.Platform.Table.Faults.SetUnavailable(true)
	defer rig.Platform.Table.Faults.SetUnavailable(false)
	refused, err := rig.Caller(0, 0).Plain(t.Context(), RigLedger, "/slots", nil, ChatCall{ID: "slot-3", IdempotencyKey: "slot-3"})
	if err != nil || refused.Outcome != "not-run" || runs.Count("slot-3") != 0 {
		t.Errorf("with the table unavailable: %+v, %v, %d runs", refused, err, runs.Count("slot-3"))
	}
}

// TestBadInput checks that invalid requests are refused with a JSON problem and, for callers, the outcome not-run.
func TestBadInput(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 1, Sites: 1})
	declareServices(t, rig, 1)
	team, operator := "Bearer "+rig.teams[0], "Bearer "+rig.operator
	chat := func(model string) string {
		return `{"model":"` + model + `","messages":[{"role":"user","content":"x"}]}`
	}
	long := strings.Repeat("x", 9<<20)
	for name, tc := range map[string]struct {
		path, key, body string
		header          http.Header
		status          int
	}{
		"no key":                {path: "/v1/chat/completions", body: chat("drafts"), status: 401},
		"wrong key":             {path: "/v1/chat/completions", key: "Bearer nobody", body: chat("drafts"), status: 401},
		"no bearer":             {path: "/v1/chat/completions", key: "Basic x", body: chat("drafts"), status: 401},
		"operator asks":         {path: "/v1/chat/completions", key: operator, body: chat("drafts"), status: 403},
		"broken JSON":           {path: "/v1/chat/completions", key: team, body: "{", status: 400},
		"no model":              {path: "/v1/chat/completions", key: team, body: "{}", status: 400},
		"unknown model":         {path: "/v1/chat/completions", key: team, body: chat("wall"), status: 404},
		"plain as model":        {path: "/v1/chat/completions", key: team, body: chat("ledger"), status: 404},
		"model as plain":        {path: "/services/drafts/x", key: team, status: 404},
		"body too long":         {path: "/v1/chat/completions", key: team, body: long, status: 413},
		"bad timeout":           {path: "/v1/chat/completions", key: team, body: chat("drafts"), header: http.Header{"X-Request-Timeout": {"soon"}}, status: 400},
		"bad priority":          {path: "/v1/chat/completions", key: team, body: chat("drafts"), header: http.Header{"X-Priority": {"first"}}, status: 400},
		"header too long":       {path: "/v1/chat/completions", key: team, body: chat("drafts"), header: http.Header{"X-Long": {long[:100<<10]}}, status: 431},
		"once key too long":     {path: "/v1/chat/completions", key: team, body: chat("drafts"), header: http.Header{"Idempotency-Key": {long[:300]}}, status: 400},
		"unknown path":          {path: "/wall", key: team, status: 404},
		"team's statement":      {path: "/v1/statements", key: team, body: `{"statement":"show boxes"}`, status: 403},
		"statement not in JSON": {path: "/v1/statements", key: operator, body: "show boxes", status: 400},
		"statement's syntax":    {path: "/v1/statements", key: operator, body: `{"statement":"show walls"}`, status: 400},
		"statement too long":    {path: "/v1/statements", key: operator, body: `{"statement":"` + long[:70<<10] + `"}`, status: 400},
		"operation's id":        {path: "/v1/statements", key: operator, body: `{"statement":"show boxes","operation":"` + long[:60] + `"}`, status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.Entries[0].URL+tc.path, bytes.NewBufferString(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			for key, values := range tc.header {
				req.Header[key] = values
			}
			if tc.key != "" {
				req.Header.Set("Authorization", tc.key)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			var p problem.Problem
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || resp.Header.Get("Content-Type") != problem.ContentType || p.Status != tc.status || p.Type == "" {
				t.Errorf("status %d, %+v; want %d", resp.StatusCode, p, tc.status)
			}
			if tc.path != "/v1/statements" && p.Outcome != "not-run" {
				t.Errorf("outcome %q, want not-run", p.Outcome)
			}
		})
	}
}

// TestControlFaults changes the configuration while daemons are replaced, the table is unavailable and links are down: no
// accepted change may be lost, no refused change may be recorded, and no daemon may go back to an older revision.
func TestControlFaults(t *testing.T) {
	for name, faults := range map[string][]string{
		"none": nil, "replace": {FaultReplace}, "all": {FaultReplace, FaultOutage, FaultCut},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := Control(t.Context(), ControlConfig{
				Boxes: 6, Sites: 3, Entries: 2, ChangesPerMinute: 120, Duration: 4 * time.Second, Faults: faults, Seed: 5,
			})
			if err != nil {
				t.Fatal(err)
			}
			if result.Reverted+result.LostAccepted+result.FalseAccepted+result.InvariantsBroken > 0 || result.Changes == 0 {
				t.Errorf("result %+v", result)
			}
		})
	}
}

// TestRefusedRequestsLeakNoGoroutines guards against goroutines that outlive refused requests.
func TestRefusedRequestsLeakNoGoroutines(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 1, Sites: 1})
	declareServices(t, rig, 1)
	transport := &http.Transport{DisableKeepAlives: true}
	send := func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.Entries[0].URL+"/v1/chat/completions", strings.NewReader("{"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+rig.teams[0])
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	send()
	before := runtime.NumGoroutine()
	for range 100 {
		send()
	}
	const slack = 20
	if !rig.Wait(testTimeout, func() bool { return runtime.NumGoroutine() <= before+slack }) {
		t.Errorf("%d goroutines before, %d after 100 refused requests", before, runtime.NumGoroutine())
	}
}

// TestReplacedBoxLoadsFromPeers checks that a box restarted without weights downloads them from peers, not the origin.
func TestReplacedBoxLoadsFromPeers(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 5, Sites: 2})
	declareServices(t, rig, 5)
	weightsDigest := serveVersion(t, rig, "v1", 1, 5)
	before := rig.Platform.Objects.DownloadedBytes()
	rig.Boxes[2].Kill()
	if err := rig.Boxes[2].Start(); err != nil {
		t.Fatal(err)
	}
	if !rig.Wait(testTimeout, func() bool { return rig.CountServing(weightsDigest) == 5 }) {
		t.Fatal("the replaced box does not serve")
	}
	if more := rig.Platform.Objects.DownloadedBytes() - before; more != 0 {
		t.Errorf("%d bytes downloaded from the origin for a replaced box", more)
	}
}

// TestWithdrawn checks that no box serves a dropped version and that a later version can be served.
func TestWithdrawn(t *testing.T) {
	rig := startRig(t, RigConfig{Boxes: 2, Sites: 1})
	declareServices(t, rig, 2)
	weightsDigest := serveVersion(t, rig, "v1", 1, 2)
	if err := rig.Do(t.Context(), fmt.Sprintf("drop version v1 of %s in %s", RigService, RigFleet)); err != nil {
		t.Fatal(err)
	}
	if !rig.Wait(testTimeout, func() bool { return rig.CountServing(weightsDigest) == 0 }) {
		t.Fatal("boxes still serve a withdrawn version")
	}
	answer, err := rig.Caller(0, 0).Chat(t.Context(), ChatCall{Service: RigService, Prompt: "x", MaxTokens: 1, Timeout: time.Second})
	if err != nil || answer.Status == http.StatusOK || answer.Outcome != "not-run" {
		t.Errorf("answer %+v, %v; want that it did not run", answer, err)
	}
	serveVersion(t, rig, "v2", 2, 2)
}
