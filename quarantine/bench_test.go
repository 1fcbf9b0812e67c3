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
