package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLedgerMerge merges one record into a full ledger.
func BenchmarkLedgerMerge(b *testing.B) {
	var l Ledger
	now := time.Now()
	var records Records
	for n := range maxRecords {
		var names []string
		for i := range 15 {
			names = append(names, fmt.Sprint(n, "/", i))
		}
		records.Exits = append(records.Exits, newExit(fmt.Sprint(n), "a", names...))
	}
	l.Merge(records, now)
	for n := 0; b.Loop(); n++ {
		l.Merge(Records{Exits: []Exit{newExit("one", "a", fmt.Sprint(n))}}, now)
	}
}

// BenchmarkPromptMerge merges one record into a ledger full of exits with prompts in flight.
func BenchmarkPromptMerge(b *testing.B) {
	var l Ledger
	now := time.Now()
	prompts := func(n int) (prompts []Prompt) {
		for i := range 5 {
			prompts = append(prompts, newPrompt(int64(n), fmt.Sprintf("template caller%d bad", (n+i)%50)))
		}
		return prompts
	}
	var records Records
	for n := range maxRecords {
		records.Exits = append(records.Exits, Exit{Incarnation: fmt.Sprint(n), Entry: "a", At: int64(n) * 300, Prompts: prompts(n)})
	}
	l.Merge(records, now)
	for n := 0; b.Loop(); n++ {
		l.Merge(Records{Exits: []Exit{{Incarnation: fmt.Sprint("new", n), Entry: "a", At: int64(n) * 300, Prompts: prompts(n)}}}, now.Add(time.Second))
	}
}
