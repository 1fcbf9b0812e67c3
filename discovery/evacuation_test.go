package discovery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/store"
)

// evacuationStep is one thing that a view learns; exactly one of read and peer is set.
type evacuationStep struct {
	after time.Duration
	read  *Declared
	full  bool
	peer  *Evacuations
}

func at(epoch store.Epoch, position int64) Cursor { return Cursor{Epoch: epoch, Position: position} }

// read returns a step that reads all evacuated sites.
func read(asOf Cursor, sites ...string) evacuationStep {
	evacuated := make(map[string]bool)
	for _, site := range sites {
		evacuated[site] = true
	}
	return evacuationStep{read: &Declared{Cursor: asOf, Evacuated: evacuated}, full: true}
}

// change returns a step that reads a change of one site.
func change(asOf Cursor, site string, evacuated bool) evacuationStep {
	return evacuationStep{read: &Declared{Cursor: asOf, Evacuated: map[string]bool{site: evacuated}}}
}

func told(asOf Cursor, lost []string, sites ...string) evacuationStep {
	return evacuationStep{peer: &Evacuations{AsOf: asOf, Sites: sites, Lost: lost, LostFor: lostEvacuationTTL}}
}

// later makes a step happen after a time.
func later(after time.Duration, step evacuationStep) evacuationStep {
	step.after = after
	return step
}

func TestEvacuations(t *testing.T) {
	const bound = 4 * time.Second
	for name, test := range map[string]struct {
		steps []evacuationStep
		want  []string
		grace bool
	}{
		"none":                      {steps: []evacuationStep{read(at(0, 1))}},
		"declared before the start": {steps: []evacuationStep{read(at(0, 1), "a")}, want: []string{"a"}},
		"declared while running":    {steps: []evacuationStep{read(at(0, 1)), change(at(0, 2), "a", true)}, want: []string{"a"}, grace: true},
		"declared while running, after the grace": {steps: []evacuationStep{read(at(0, 1)), change(at(0, 2), "a", true), later(bound, change(at(0, 3), "b", false))}, want: []string{"a"}},
		"taken back":                                  {steps: []evacuationStep{read(at(0, 1), "a"), change(at(0, 2), "a", false)}},
		"taken back while cut off":                    {steps: []evacuationStep{read(at(0, 1), "a"), read(at(0, 9))}},
		"taken back and declared again":               {steps: []evacuationStep{read(at(0, 1), "a"), change(at(0, 2), "a", false), change(at(0, 3), "a", true)}, want: []string{"a"}, grace: true},
		"an older answer comes late":                  {steps: []evacuationStep{read(at(0, 5), "a"), read(at(0, 4))}, want: []string{"a"}},
		"heard from a peer":                           {steps: []evacuationStep{read(at(0, 1)), told(at(0, 2), nil, "a")}, want: []string{"a"}},
		"heard before anything was read":              {steps: []evacuationStep{told(at(0, 2), nil, "a")}, want: []string{"a"}},
		"a peer that is behind":                       {steps: []evacuationStep{read(at(0, 5)), told(at(0, 2), nil, "a")}},
		"a peer tells that it was taken back":         {steps: []evacuationStep{read(at(0, 1), "a"), told(at(0, 2), nil)}},
		"own change older than what a peer told":      {steps: []evacuationStep{read(at(0, 1)), told(at(0, 4), nil), change(at(0, 3), "a", true)}},
		"a restored store lacks it":                   {steps: []evacuationStep{read(at(0, 9), "a"), read(at(1, 3))}, want: []string{"a"}},
		"a restored store lacks it for long":          {steps: []evacuationStep{read(at(0, 9), "a"), read(at(1, 3)), later(lostEvacuationTTL+time.Second, change(at(1, 5), "b", false))}},
		"a restored store lacks it, then has it":      {steps: []evacuationStep{read(at(0, 9), "a"), read(at(1, 3)), change(at(1, 4), "a", true), later(lostEvacuationTTL+time.Second, read(at(1, 9), "a"))}, want: []string{"a"}},
		"a restored store lacks it, then takes back":  {steps: []evacuationStep{read(at(0, 9), "a"), read(at(1, 3)), change(at(1, 4), "a", false)}},
		"a restored store has what was taken back":    {steps: []evacuationStep{read(at(0, 9)), read(at(1, 3), "a")}, want: []string{"a"}},
		"started on the copy, told of the loss":       {steps: []evacuationStep{read(at(1, 3)), told(at(1, 3), []string{"a"})}, want: []string{"a"}},
		"started on the copy, told late of the loss":  {steps: []evacuationStep{read(at(1, 7)), told(at(1, 3), []string{"a"})}, want: []string{"a"}},
		"a peer that knows only the copy":             {steps: []evacuationStep{read(at(0, 9), "a"), told(at(1, 3), nil)}, want: []string{"a"}},
		"the loss is told again after it was settled": {steps: []evacuationStep{read(at(0, 9), "a"), read(at(1, 3)), change(at(1, 4), "a", false), told(at(1, 3), []string{"a"})}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			v := New(nil, Options{EvacuationBound: bound})
			v.now = func() time.Time { return now }
			for _, step := range test.steps {
				now = now.Add(step.after)
				if step.peer != nil {
					v.ObservePeerEvacuations(*step.peer)
				} else {
					v.applyDeclared(*step.read, false, step.full)
				}
			}
			for _, site := range []string{"a", "b"} {
				phase, _ := v.Evacuation(site)
				want := NotEvacuated
				if slices.Contains(test.want, site) {
					want = Evacuated
				}
				if want == Evacuated && test.grace {
					want = EvacuationBegins
				}
				if phase != want {
					t.Errorf("site %s is in phase %d, want %d", site, phase, want)
				}
			}
		})
	}
}

// TestEvacuationsSpread checks that a view which hears only from peers ends up with what the one that reads the store knows.
func TestEvacuationsSpread(t *testing.T) {
	reader, follower := New(nil, Options{}), New(nil, Options{})
	for i, sites := range [][]string{{"a"}, {"a", "b"}, {}, {"b"}} {
		step := read(at(0, int64(i)), sites...)
		reader.applyDeclared(*step.read, false, true)
		known, _ := reader.Evacuations()
		follower.ObservePeerEvacuations(known)
		if got, ok := follower.Evacuations(); !ok || !got.Equal(known) {
			t.Errorf("the follower knows %v, the reader %v", got.Sites, known.Sites)
		}
	}
}

// TestLateFeedShortensGrace guards against requests to an evacuated site past the bound, since its grace counts from when a daemon heard
// of the evacuation.
func TestLateFeedShortensGrace(t *testing.T) {
	const bound = 4 * time.Second
	for name, test := range map[string]struct {
		// late is how long ago the site was last known not to be evacuated; known says whether that is known.
		late  time.Duration
		known bool
		grace time.Duration
	}{
		"at once":                    {0, true, bound / 4},
		"after a usual poll":         {bound / 2, true, bound / 4},
		"late":                       {bound * 5 / 8, true, bound / 8},
		"after the bound":            {2 * bound, true, 0},
		"nothing is known of a time": {0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var times store.Timeline
				v := New(nil, Options{EvacuationBound: bound, Timeline: &times})
				v.applyEvacuations(*read(at(0, 1)).read, true)
				stamp := store.Time(1000)
				times.Observe(0, 1, stamp-1, clock.Now())
				time.Sleep(test.late)
				step := change(at(0, 2), "a", true)
				if test.known {
					step.read.EvacuatedNotBefore = map[string]store.Time{"a": stamp}
				}
				v.applyEvacuations(*step.read, false)
				time.Sleep(test.grace - time.Millisecond)
				if phase, _ := v.Evacuation("a"); test.grace > 0 && phase != EvacuationBegins {
					t.Errorf("phase %d within the grace", phase)
				}
				time.Sleep(3 * time.Millisecond)
				if phase, _ := v.Evacuation("a"); phase != Evacuated {
					t.Errorf("phase %d after the grace", phase)
				}
			})
		})
	}
}
