package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// fingerprint returns the fingerprint of a test request.
func fingerprint(name string) Fingerprint { return FingerprintOf("team", "POST", "h", "/"+name, nil) }

// newExit returns the exit record of an incarnation with requests in flight.
func newExit(incarnation, entry string, requests ...string) Exit {
	exit := Exit{Incarnation: incarnation, Entry: entry}
	for _, name := range requests {
		exit.Requests = append(exit.Requests, fingerprint(name))
	}
	return exit
}

// TestVerdicts checks which requests are quarantined for the exits they were in flight at, in any order of the records.
func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		records     Records
		quarantined []string
	}{
		"no exits": {},
		"two exits": {
			records: Records{Exits: []Exit{newExit("1", "a", "x"), newExit("2", "a", "x")}},
		},
		"three exits at one entry": {
			records:     Records{Exits: []Exit{newExit("1", "a", "x"), newExit("2", "a", "x"), newExit("3", "a", "x")}},
			quarantined: []string{"x"},
		},
		"three exits at three entries": {
			records:     Records{Exits: []Exit{newExit("1", "a", "x"), newExit("2", "b", "x"), newExit("3", "c", "x")}},
			quarantined: []string{"x"},
		},
		"one exit recorded by three entries": {
			records: Records{Exits: []Exit{newExit("1", "a", "x"), newExit("1", "b", "x"), newExit("1", "c", "x")}},
		},
		"bystander at three of four exits": {
			records:     Records{Exits: []Exit{newExit("1", "a", "x", "y"), newExit("2", "a", "x", "y"), newExit("3", "a", "x", "y"), newExit("4", "a", "x")}},
			quarantined: []string{"x"},
		},
		"bystander at every exit": {
			records:     Records{Exits: []Exit{newExit("1", "a", "x", "y"), newExit("2", "a", "x", "y"), newExit("3", "a", "x", "y")}},
			quarantined: []string{"x", "y"},
		},
		"two causes that share an exit": {
			records:     Records{Exits: []Exit{newExit("1", "a", "x", "y"), newExit("2", "a", "x"), newExit("3", "a", "x"), newExit("4", "a", "y"), newExit("5", "a", "y"), newExit("6", "a", "y")}},
			quarantined: []string{"x", "y"},
		},
		"bystander of two causes": {
			records: Records{Exits: []Exit{
				newExit("1", "a", "x", "z"), newExit("2", "a", "x", "z"), newExit("3", "a", "x"), newExit("4", "a", "x"),
				newExit("5", "a", "y", "z"), newExit("6", "a", "y"), newExit("7", "a", "y"), newExit("8", "a", "y"),
			}},
			quarantined: []string{"x", "y"},
		},
		"response after the exits": {
			records: Records{
				Exits:     []Exit{newExit("1", "a", "x"), newExit("2", "a", "x"), newExit("3", "a", "x")},
				Responses: []Response{{Request: fingerprint("x"), Incarnations: []string{"1", "2"}}},
			},
		},
		"three more exits after a response": {
			records: Records{
				Exits:     []Exit{newExit("1", "a", "x"), newExit("2", "a", "x"), newExit("3", "a", "x"), newExit("4", "b", "x")},
				Responses: []Response{{Request: fingerprint("x"), Incarnations: []string{"1"}}},
			},
			quarantined: []string{"x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for variant := range 3 {
				var l Ledger
				for _, i := range permute(len(test.records.Exits), variant) {
					l.Merge(Records{Exits: test.records.Exits[i : i+1]}, time.Now())
				}
				l.Merge(Records{Responses: test.records.Responses}, time.Now())
				var quarantined []string
				for _, name := range []string{"x", "y", "z"} {
					if l.IsQuarantined(fingerprint(name)) {
						quarantined = append(quarantined, name)
					}
				}
				if !slices.Equal(quarantined, test.quarantined) {
					t.Errorf("order %d: quarantined %q, want %q", variant, quarantined, test.quarantined)
				}
			}
		})
	}
}

// permute returns the numbers below n ascending, descending, or rotated by half, by variant.
func permute(n, variant int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	switch variant {
	case 1:
		slices.Reverse(numbers)
	case 2:
		numbers = append(numbers[n/2:], numbers[:n/2]...)
	}
	return numbers
}

// TestManyBesideAFew checks that bystanders of a crashing request are not quarantined, however many exits they share.
func TestManyBesideAFew(t *testing.T) {
	var l Ledger
	for exit := range 40 {
		requests := []string{"x"}
		for n := range 15 {
			requests = append(requests, strconv.Itoa((exit*7+n*3)%60))
		}
		l.Merge(Records{Exits: []Exit{newExit(fmt.Sprint("incarnation ", exit), "a", requests...)}}, time.Now())
	}
	if !l.IsQuarantined(fingerprint("x")) {
		t.Error("the request in flight at every exit is not quarantined")
	}
	for n := range 60 {
		if l.IsQuarantined(fingerprint(strconv.Itoa(n))) {
			t.Errorf("request %d is quarantined, in flight at %d of 40 exits", n, len(l.Incarnations(fingerprint(strconv.Itoa(n)))))
		}
	}
}

func TestLedgerRemovesRecords(t *testing.T) {
	now := time.Now()
	exits := []Exit{newExit("1", "a", "x"), newExit("2", "a", "x"), newExit("3", "a", "x")}
	t.Run("removed records", func(t *testing.T) {
		var l Ledger
		if !l.Merge(Records{Exits: exits}, now) || l.Merge(Records{Removed: []string{exits[1].Key()}}, now) || l.IsQuarantined(fingerprint("x")) {
			t.Error("the request is quarantined by a removed record")
		}
	})
	t.Run("records no longer stored", func(t *testing.T) {
		var l Ledger
		l.Merge(Records{Exits: exits}, now)
		l.Replace(Records{Exits: exits[:2]}, now)
		if l.IsQuarantined(fingerprint("x")) || len(l.Keys()) != 2 {
			t.Errorf("quarantined: %t, %d records, want 2", l.IsQuarantined(fingerprint("x")), len(l.Keys()))
		}
	})
	t.Run("records beyond the maximum", func(t *testing.T) {
		var l Ledger
		var records Records
		for n := range maxRecords {
			records.Exits = append(records.Exits, newExit(fmt.Sprint("incarnation ", n), "a", strconv.Itoa(n)))
		}
		l.Merge(Records{Exits: exits}, now)
		l.Merge(Records{Exits: []Exit{newExit("4", "a", "y")}}, now)
		l.Merge(records, now.Add(time.Second))
		if !l.IsQuarantined(fingerprint("x")) || len(l.Incarnations(fingerprint("y"))) > 0 || len(l.Keys()) != maxRecords {
			t.Errorf("quarantined: %t, %d exits of another request, %d records, want %d", l.IsQuarantined(fingerprint("x")), len(l.Incarnations(fingerprint("y"))), len(l.Keys()), maxRecords)
		}
	})
	t.Run("records of another entry", func(t *testing.T) {
		var l Ledger
		l.Merge(Records{Exits: exits}, now)
		l.Merge(Records{Exits: []Exit{newExit("2", "b", "x", "y")}}, now)
		l.Merge(Records{Removed: []string{exits[1].Key()}}, now)
		if !l.IsQuarantined(fingerprint("x")) {
			t.Error("the request is no longer quarantined")
		}
		l.Merge(Records{Exits: []Exit{newExit("2", "b", "y")}}, now)
		if l.IsQuarantined(fingerprint("x")) || len(l.Incarnations(fingerprint("y"))) != 1 {
			t.Errorf("the request is quarantined by an exit it was not in flight at; %d exits of another request", len(l.Incarnations(fingerprint("y"))))
		}
	})
	t.Run("old records", func(t *testing.T) {
		var l Ledger
		l.Merge(Records{Exits: exits[:1]}, now.Add(-time.Hour))
		l.Merge(Records{Exits: exits}, now)
		if old := l.LearnedBefore(now.Add(-time.Minute)); !slices.Equal(old, []string{exits[0].Key()}) {
			t.Errorf("old records are %q", old)
		}
	})
}
