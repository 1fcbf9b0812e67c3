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
		records.Ends = append(records.Ends, newExit(fmt.Sprint(n), "a", names...))
	}
	l.Merge(records, now)
	for n := 0; b.Loop(); n++ {
		l.Merge(Records{Ends: []End{newExit("one", "a", fmt.Sprint(n))}}, now)
	}
}
