package shortage

import "testing"

// TestWideSpreadWithManyEntries checks that with many entries, spreading choices over a longer window than the age of the
// load reports gains value.
func TestWideSpreadWithManyEntries(t *testing.T) {
	const seeds, minGain = 3, 0.02
	means := make(map[string]Mean)
	for _, mean := range Compare(seeds, func(seed uint64) Params { return ManyEntriesParams(seed, 1) }) {
		means[mean.Strategy] = mean
		t.Logf("%-16s %.3f, in time %.2f, late %.2f, refused %.2f", mean.Strategy, mean.Value, mean.InTime, mean.Late, mean.Refused)
	}
	if gain := means["spread wider"].Value - means["spread"].Value; gain < minGain {
		t.Errorf("value %+.3f against the narrow spread, want at least %+.3f", gain, minGain)
	}
}
