package quarantine

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// newPrompt returns the prompt of space-separated parts.
func newPrompt(sent int64, parts string) Prompt {
	return Prompt{Parts: partsOf(parts), Sent: sent}
}

func partsOf(parts string) []Fingerprint {
	var all []Fingerprint
	for _, part := range strings.Fields(parts) {
		all = append(all, PartFingerprint(part))
	}
	return all
}

// TestPromptVerdicts checks which prompts are quarantined for their parts.
func TestPromptVerdicts(t *testing.T) {
	// promptExit is an exit at a time in ms with prompts that were all sent at another.
	type promptExit struct {
		at, sent int64
		prompts  []string
	}
	const far = 1000
	for name, test := range map[string]struct {
		exits            []promptExit
		requests         []string
		quarantined, not []string
	}{
		"no exits": {not: []string{"p"}},
		"two exits": {
			exits: []promptExit{{far, 1, []string{"p"}}, {2 * far, 1, []string{"p"}}},
			not:   []string{"p"},
		},
		"three exits": {
			exits:       []promptExit{{far, 1, []string{"p"}}, {2 * far, 1, []string{"p"}}, {3 * far, 1, []string{"p"}}},
			quarantined: []string{"p", "p q", "q p"}, not: []string{"q", ""},
		},
		"three simultaneous exits": {
			exits: []promptExit{{far, 1, []string{"p"}}, {far + 1, 1, []string{"p"}}, {far + 2, 1, []string{"p"}}},
			not:   []string{"p"},
		},
		"three quick exits of prompts sent one after another": {
			exits:       []promptExit{{far, 1, []string{"p"}}, {far + 20, far + 10, []string{"p"}}, {far + 40, far + 30, []string{"p"}}},
			quarantined: []string{"p"},
		},
		"parts that always come together": {
			exits:       []promptExit{{far, 1, []string{"k p"}}, {2 * far, 1, []string{"k p"}}, {3 * far, 1, []string{"k p"}}},
			quarantined: []string{"k p"}, not: []string{"k", "p"},
		},
		"one part with several others": {
			exits:       []promptExit{{far, 1, []string{"k p"}}, {2 * far, 1, []string{"l p"}}, {3 * far, 1, []string{"m p"}}},
			quarantined: []string{"k p", "n p", "p"}, not: []string{"k", "l", "m"},
		},
		"two parts of one caller": {
			exits: []promptExit{
				{far, 1, []string{"k p"}},
				{2 * far, 1, []string{"k q"}},
				{3 * far, 1, []string{"k p"}},
				{4 * far, 1, []string{"k q"}},
				{5 * far, 1, []string{"k p"}},
				{6 * far, 1, []string{"k q"}},
			},
			quarantined: []string{"k p", "k q"}, not: []string{"k", "k other"},
		},
		"bystander at most exits": {
			exits:       []promptExit{{far, 1, []string{"p", "b"}}, {2 * far, 1, []string{"p", "b"}}, {3 * far, 1, []string{"p", "b"}}, {4 * far, 1, []string{"p"}}},
			quarantined: []string{"p"}, not: []string{"b"},
		},
		"one request three times": {
			exits:    []promptExit{{far, 1, []string{"p"}}, {2 * far, 1, []string{"p"}}, {3 * far, 1, []string{"p"}}},
			requests: []string{"x", "x", "x"}, not: []string{"p"},
		},
		"one request three times, then another": {
			exits:    []promptExit{{far, 1, []string{"p"}}, {2 * far, 1, []string{"p"}}, {3 * far, 1, []string{"p"}}, {4 * far, 1, []string{"p"}}},
			requests: []string{"x", "x", "x", "y"}, quarantined: []string{"p"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for variant := range 3 {
				var l Ledger
				for _, i := range permute(len(test.exits), variant) {
					exit := Exit{Incarnation: string(rune('a' + i)), Entry: "e", At: test.exits[i].at}
					if test.requests != nil {
						exit.Requests = []Fingerprint{fingerprint(test.requests[i])}
					}
					for _, parts := range test.exits[i].prompts {
						exit.Prompts = append(exit.Prompts, newPrompt(test.exits[i].sent, parts))
					}
					l.Merge(Records{Exits: []Exit{exit}}, time.Now())
				}
				for _, parts := range test.quarantined {
					if !l.IsPromptQuarantined(partsOf(parts)) {
						t.Errorf("order %d: prompt %q is not quarantined", variant, parts)
					}
				}
				for _, parts := range test.not {
					if l.IsPromptQuarantined(partsOf(parts)) {
						t.Errorf("order %d: prompt %q is quarantined", variant, parts)
					}
				}
			}
		})
	}
}

// recordPromptExits records exits with one prompt in flight, some time apart.
func recordPromptExits(q *Quarantine, parts string, incarnations ...string) {
	for _, incarnation := range incarnations {
		time.Sleep(simultaneous)
		q.RecordExit(incarnation, nil, newPrompt(time.Now().UnixMilli(), parts))
	}
}

func (q *Quarantine) holds(parts string) bool {
	return q.HeldPrompt(func() []Fingerprint { return partsOf(parts) })
}

// TestAnswersClearParts checks that only responses that began after an exit was known clear it, and that other entries learn of them.
func TestAnswersClearParts(t *testing.T) {
	for name, test := range map[string]struct {
		began time.Duration
		held  bool
	}{
		"response begun before":        {-time.Minute, true},
		"response begun after":         {time.Second, false},
		"response begun between exits": {-simultaneous - simultaneous/2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSharedStore()
				a, _ := startEntry(t, "a", store)
				b, _ := startEntry(t, "b", store)
				recordPromptExits(a, "p", "1", "2", "3")
				began := time.Now().Add(test.began)
				time.Sleep(2 * time.Second)
				if !a.holds("p") || !b.holds("p") {
					t.Fatal("the prompt is not quarantined")
				}
				b.RecordAnswer(partsOf("p"), began)
				time.Sleep(time.Second)
				if a.holds("p") != test.held || b.holds("p") != test.held {
					t.Errorf("quarantined: %t, %t, want %t", a.holds("p"), b.holds("p"), test.held)
				}
			})
		})
	}
}

// TestTrials checks that one entry at a time tries a quarantined part, more rarely after each failure, and that a success ends the quarantine.
func TestTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		b, _ := startEntry(t, "b", store)
		recordPromptExits(a, "p", "1", "2")
		recordPromptExits(b, "p", "3")
		trials := func(d time.Duration) (n int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				for _, q := range []*Quarantine{a, b} {
					if q.holds("p") && q.TryPrompt(partsOf("p")) {
						n++
						q.RecordExit("trial"+time.Now().String(), nil, newPrompt(time.Now().UnixMilli(), "p"))
					}
				}
			}
			return n
		}
		if n := trials(minTrialDelay - 100*time.Millisecond); n != 0 {
			t.Errorf("%d trials before the delay", n)
		}
		if n := trials(2 * time.Minute); n < 1 || n > maxLateSends {
			t.Errorf("%d trials in two minutes, want 1 to %d", n, maxLateSends)
		}
		for !a.holds("p") || !a.TryPrompt(partsOf("p")) {
			time.Sleep(100 * time.Millisecond)
		}
		a.RecordAnswer(partsOf("p"), time.Now())
		time.Sleep(time.Second)
		if a.holds("p") || b.holds("p") {
			t.Errorf("quarantined after a response: %t, %t", a.holds("p"), b.holds("p"))
		}
	})
}

// TestClearedPartsAddNothing checks that the end of a part's quarantine is not announced as another one.
func TestClearedPartsAddNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := startEntry(t, "a", newSharedStore())
		announced := 0
		q.OnChange(func(added bool) {
			if added {
				announced++
			}
		})
		recordPromptExits(q, "p", "1", "2", "3")
		q.RecordAnswer(partsOf("p"), time.Now())
		time.Sleep(time.Second)
		if announced != 1 {
			t.Errorf("announced %d times, want once", announced)
		}
	})
}
