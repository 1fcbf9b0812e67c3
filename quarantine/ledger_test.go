package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// named returns a fingerprint for a name.
func named(name string) Fingerprint { return FingerprintOf("team", "POST", "h", "/"+name, nil) }

// atEnd returns the end of a life with requests in progress.
func atEnd(life, entry string, requests ...string) End {
	end := End{Life: life, Entry: entry}
	for _, name := range requests {
		end.Requests = append(end.Requests, named(name))
	}
	return end
}

// TestVerdicts proves which requests are held by what was in progress at servers that ended.
func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		records Records
		held    []string
	}{
		"nothing": {},
		"two ends": {
			records: Records{Ends: []End{atEnd("1", "a", "x"), atEnd("2", "a", "x")}},
		},
		"three ends at one entry": {
			records: Records{Ends: []End{atEnd("1", "a", "x"), atEnd("2", "a", "x"), atEnd("3", "a", "x")}},
			held:    []string{"x"},
		},
		"three ends, each at another entry": {
			records: Records{Ends: []End{atEnd("1", "a", "x"), atEnd("2", "b", "x"), atEnd("3", "c", "x")}},
			held:    []string{"x"},
		},
		"one end that three entries tell": {
			records: Records{Ends: []End{atEnd("1", "a", "x"), atEnd("1", "b", "x"), atEnd("1", "c", "x")}},
		},
		"one that was beside it three times of four": {
			records: Records{Ends: []End{atEnd("1", "a", "x", "y"), atEnd("2", "a", "x", "y"), atEnd("3", "a", "x", "y"), atEnd("4", "a", "x")}},
			held:    []string{"x"},
		},
		"one that was beside it each time": {
			records: Records{Ends: []End{atEnd("1", "a", "x", "y"), atEnd("2", "a", "x", "y"), atEnd("3", "a", "x", "y")}},
			held:    []string{"x", "y"},
		},
		"two of them that met": {
			records: Records{Ends: []End{atEnd("1", "a", "x", "y"), atEnd("2", "a", "x"), atEnd("3", "a", "x"), atEnd("4", "a", "y"), atEnd("5", "a", "y"), atEnd("6", "a", "y")}},
			held:    []string{"x", "y"},
		},
		"one that was beside two others": {
			records: Records{Ends: []End{
				atEnd("1", "a", "x", "z"), atEnd("2", "a", "x", "z"), atEnd("3", "a", "x"), atEnd("4", "a", "x"),
				atEnd("5", "a", "y", "z"), atEnd("6", "a", "y"), atEnd("7", "a", "y"), atEnd("8", "a", "y"),
			}},
			held: []string{"x", "y"},
		},
		"one that was answered since": {
			records: Records{
				Ends:    []End{atEnd("1", "a", "x"), atEnd("2", "a", "x"), atEnd("3", "a", "x")},
				Answers: []Answer{{Request: named("x"), Lives: []string{"1", "2"}}},
			},
		},
		"one that ended three more since its answer": {
			records: Records{
				Ends:    []End{atEnd("1", "a", "x"), atEnd("2", "a", "x"), atEnd("3", "a", "x"), atEnd("4", "b", "x")},
				Answers: []Answer{{Request: named("x"), Lives: []string{"1"}}},
			},
			held: []string{"x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for turn := range 3 {
				var l Ledger
				for _, i := range order(len(test.records.Ends), turn) {
					l.Take(Records{Ends: test.records.Ends[i : i+1]}, time.Now())
				}
				l.Take(Records{Answers: test.records.Answers}, time.Now())
				var held []string
				for _, name := range []string{"x", "y", "z"} {
					if l.Held(named(name)) {
						held = append(held, name)
					}
				}
				if !slices.Equal(held, test.held) {
					t.Errorf("order %d: held %q, want %q", turn, held, test.held)
				}
			}
		})
	}
}

// order returns the numbers below n as they come, backwards and from the middle on.
func order(n, turn int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	switch turn {
	case 1:
		slices.Reverse(numbers)
	case 2:
		numbers = append(numbers[n/2:], numbers[:n/2]...)
	}
	return numbers
}

// TestManyBesideAFew proves that requests by the hundred which servers took along are not held, however often that was.
func TestManyBesideAFew(t *testing.T) {
	var l Ledger
	for end := range 40 {
		requests := []string{"x"}
		for n := range 15 {
			requests = append(requests, strconv.Itoa((end*7+n*3)%60))
		}
		l.Take(Records{Ends: []End{atEnd(fmt.Sprint("life ", end), "a", requests...)}}, time.Now())
	}
	if !l.Held(named("x")) {
		t.Error("the one at all ends is not held")
	}
	for n := range 60 {
		if l.Held(named(strconv.Itoa(n))) {
			t.Errorf("request %d is held, at %d of 40 ends", n, len(l.Lives(named(strconv.Itoa(n)))))
		}
	}
}

func TestLedgerForgets(t *testing.T) {
	now := time.Now()
	ends := []End{atEnd("1", "a", "x"), atEnd("2", "a", "x"), atEnd("3", "a", "x")}
	t.Run("records that are gone", func(t *testing.T) {
		var l Ledger
		if !l.Take(Records{Ends: ends}, now) || l.Take(Records{Gone: []string{ends[1].Key()}}, now) || l.Held(named("x")) {
			t.Error("it is held by an end that is gone")
		}
	})
	t.Run("records that are no longer stored", func(t *testing.T) {
		var l Ledger
		l.Take(Records{Ends: ends}, now)
		l.Reset(Records{Ends: ends[:2]}, now)
		if l.Held(named("x")) || len(l.Keys()) != 2 {
			t.Errorf("held: %t, %d records, want 2", l.Held(named("x")), len(l.Keys()))
		}
	})
	t.Run("records beyond the most", func(t *testing.T) {
		var l Ledger
		var records Records
		for n := range mostRecords {
			records.Ends = append(records.Ends, atEnd(fmt.Sprint("life ", n), "a", strconv.Itoa(n)))
		}
		l.Take(Records{Ends: ends}, now)
		l.Take(Records{Ends: []End{atEnd("4", "a", "y")}}, now)
		l.Take(records, now.Add(time.Second))
		if !l.Held(named("x")) || len(l.Lives(named("y"))) > 0 || len(l.Keys()) != mostRecords {
			t.Errorf("held: %t, %d ends of another, %d records, want %d", l.Held(named("x")), len(l.Lives(named("y"))), len(l.Keys()), mostRecords)
		}
	})
	t.Run("what another entry still tells stays", func(t *testing.T) {
		var l Ledger
		l.Take(Records{Ends: ends}, now)
		l.Take(Records{Ends: []End{atEnd("2", "b", "x", "y")}}, now)
		l.Take(Records{Gone: []string{ends[1].Key()}}, now)
		if !l.Held(named("x")) {
			t.Error("it is not held any more")
		}
		l.Take(Records{Ends: []End{atEnd("2", "b", "y")}}, now)
		if l.Held(named("x")) || len(l.Lives(named("y"))) != 1 {
			t.Errorf("held by an end at which it was not; %d ends of another", len(l.Lives(named("y"))))
		}
	})
	t.Run("old ones", func(t *testing.T) {
		var l Ledger
		l.Take(Records{Ends: ends[:1]}, now.Add(-time.Hour))
		l.Take(Records{Ends: ends}, now)
		if old := l.Older(now.Add(-time.Minute)); !slices.Equal(old, []string{ends[0].Key()}) {
			t.Errorf("old are %q", old)
		}
	})
}
