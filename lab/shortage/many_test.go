package shortage

import "testing"

// TestWideSpreadWithManyEntries proves that where many entries see the same servers late, callers fare better when choices are spread
// over more than what is sent unseen.
func TestWideSpreadWithManyEntries(t *testing.T) {
	const seeds, least = 3, 0.02
	of := make(map[string]Mean)
	for _, mean := range Compare(seeds, func(seed uint64) Params { return Many(seed, 1) }) {
		of[mean.Way] = mean
		t.Logf("%-16s %.3f, in time %.2f, late %.2f, refused %.2f", mean.Way, mean.All, mean.InTime, mean.Late, mean.Refused)
	}
	if gain := of["spread wider"].All - of["spread"].All; gain < least {
		t.Errorf("worth %+.3f against the narrow spread, want at least %+.3f", gain, least)
	}
}
