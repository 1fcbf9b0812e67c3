package box

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/weights"
)

func TestNext(t *testing.T) {
	v1, v2 := weights.DigestOf([]byte("1")), weights.DigestOf([]byte("2"))
	for name, tc := range map[string]struct {
		facts Facts
		phase Phase
		step  Step
	}{
		"nothing declared":          {Facts{}, PhaseNone, StepNothing},
		"first version":             {Facts{Declared: v1}, PhaseFetching, StepFetch},
		"verified, nothing serving": {Facts{Declared: v1, Complete: true}, PhaseLoading, StepLoad},
		"order in progress":         {Facts{Declared: v1, Complete: true, Loading: true}, PhaseLoading, StepNothing},
		"loaded":                    {Facts{Declared: v1, Complete: true, Loaded: true}, PhaseLoading, StepServe},
		"serving":                   {Facts{Declared: v1, Served: v1, Open: true, Complete: true, Loaded: true}, PhaseServing, StepNothing},
		"upstream lost its weights": {Facts{Declared: v1, Served: v1, Open: true, Complete: true}, PhaseLoading, StepClose},
		"upstream's state unknown":  {Facts{Declared: v1, Served: v1, Open: true, Complete: true, Unknown: true}, PhaseServing, StepNothing},
		"no order while unknown":    {Facts{Declared: v1, Complete: true, Unknown: true}, PhaseLoading, StepNothing},
		"new version on the way":    {Facts{Declared: v2, Served: v1, Open: true, InFlight: 3}, PhaseFetching, StepFetch},
		"new version, no lease":     {Facts{Declared: v2, Served: v1, Open: true, Complete: true}, PhaseVerified, StepAcquireLease},
		"new version, lease":        {Facts{Declared: v2, Served: v1, Open: true, Complete: true, HasLease: true, InFlight: 2}, PhaseDraining, StepClose},
		"draining":                  {Facts{Declared: v2, Served: v1, Complete: true, HasLease: true, InFlight: 2}, PhaseDraining, StepDrain},
		"drained":                   {Facts{Declared: v2, Served: v1, Complete: true, HasLease: true}, PhaseLoading, StepLoad},
		"rolled back":               {Facts{Declared: v1, Served: v1, Open: true, Loaded: true}, PhaseServing, StepNothing},
		"withdrawn":                 {Facts{Served: v1, Open: true, Withdrawn: true}, PhaseNone, StepClose},
		"stopped by an operator":    {Facts{Declared: v1, Served: v1, Open: true, Stopped: true, InFlight: 1}, PhaseStopped, StepClose},
		"stopped":                   {Facts{Declared: v1, Served: v1, Stopped: true}, PhaseStopped, StepNothing},
		"restarted":                 {Facts{Declared: v1, Served: v1, Complete: true, Loaded: true}, PhaseLoading, StepServe},
	} {
		t.Run(name, func(t *testing.T) {
			phase, step := Next(tc.facts)
			if phase != tc.phase || step != tc.step {
				t.Errorf("%s, step %d; want %s, step %d", phase, step, tc.phase, tc.step)
			}
		})
	}
}

// TestNextSafe checks with random facts that no load is ordered while requests are in flight or admitted, for unverified weights
// or a stopped box, and that requests are admitted only once the upstream reports the declared weights.
func TestNextSafe(t *testing.T) {
	digests := []weights.Digest{{}, weights.DigestOf([]byte("1")), weights.DigestOf([]byte("2"))}
	rapid.Check(t, func(rt *rapid.T) {
		yes := func(name string) bool { return rapid.Bool().Draw(rt, name) }
		f := Facts{
			Declared: rapid.SampledFrom(digests).Draw(rt, "declared"), Served: rapid.SampledFrom(digests).Draw(rt, "offered"),
			Open: yes("open"), Stopped: yes("stopped"), Withdrawn: yes("withdrawn"), Complete: yes("complete"),
			Loaded: yes("loaded"), Unknown: yes("unknown"), Loading: yes("loading"), HasLease: yes("slot"), InFlight: rapid.IntRange(0, 2).Draw(rt, "inside"),
		}
		phase, step := Next(f)
		if step == StepLoad && (f.Open || f.InFlight > 0 || !f.Complete || f.Stopped) {
			rt.Errorf("%+v: order to load", f)
		}
		if step == StepLoad && f.Unknown {
			rt.Errorf("%+v: order to load while the upstream's state is unknown", f)
		}
		if step == StepServe && (!f.Loaded || f.Stopped || f.Declared.IsZero()) {
			rt.Errorf("%+v: requests admitted", f)
		}
		if phase == PhaseServing && !(f.Open && (f.Loaded || f.Unknown) && f.Served == f.Declared) {
			rt.Errorf("%+v: phase is serving", f)
		}
		if f.Open && (f.Stopped || f.Declared.IsZero()) && step != StepClose {
			rt.Errorf("%+v: still open", f)
		}
	})
}

func TestGate(t *testing.T) {
	checks := new(invariant.Recorder)
	g := new(Gate)
	if _, reason, ok := g.Acquire(0); ok || reason == "" {
		t.Error("a closed gate admits a request, or gives no reason")
	}
	v1, v2 := ServedVersion{Digest: "1"}, ServedVersion{Digest: "2"}
	g.Open(v1, checks)
	served, _, ok := g.Acquire(1)
	if !ok || served != v1 {
		t.Fatalf("admitted %v to %+v", ok, served)
	}
	if _, _, ok := g.Acquire(1); ok {
		t.Error("admitted beyond the slots")
	}
	g.Close("draining")
	select {
	case <-g.Idle():
		t.Error("idle with a request in flight")
	default:
	}
	if g.Open(v2, checks) || len(checks.Violations()) != 1 {
		t.Error("another version was opened under a request, or the violation was not recorded")
	}
	idle := g.Idle()
	g.Release()
	<-idle
	if !g.Open(v2, checks) {
		t.Error("the next version is not opened once the gate is idle")
	}
}
