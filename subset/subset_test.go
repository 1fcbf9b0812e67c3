package subset

import (
	"fmt"
	"math"
	"testing"
)

// fleet returns boxes and entries, both distributed evenly over sites; the entries are mapped to their sites.
func fleet(boxes, entries, sites int) ([]Box, map[string]string) {
	var all []Box
	for i := range boxes {
		all = append(all, Box{Host: fmt.Sprintf("10.%d.0.%d", i%sites, i/sites), Site: fmt.Sprint("site", i%sites)})
	}
	from := make(map[string]string)
	for i := range entries {
		from[fmt.Sprint("entry", i)] = fmt.Sprint("site", i%sites)
	}
	return all, from
}

// TestChoose checks that the links of entries and boxes are bounded, that every box is selected by some entries, and that
// the weights add up to the number of entries.
func TestChoose(t *testing.T) {
	for name, test := range map[string]struct {
		boxes, entries, sites int
		// least and most bound the number of entries that select a box.
		least, most int
		all         bool
	}{
		"small fleet, all boxes":   {20, 5, 3, 5, 5, true},
		"several regions":          {76, 16, 3, 5, 16, false},
		"medium fleet":             {120, 53, 5, 8, 30, false},
		"large fleet":              {204, 53, 5, 4, 20, false},
		"single site":              {40, 10, 1, 2, 10, false},
		"as many entries as boxes": {300, 300, 5, 20, 64, false},
		"many boxes per entry":     {2200, 69, 23, 3, 12, false},
	} {
		t.Run(name, func(t *testing.T) {
			boxes, entries := fleet(test.boxes, test.entries, test.sites)
			selections, weights := make(map[Box]int), 0.0
			limit := max(minLocalBoxes+minRemoteBoxes, (localShares+remoteShares)*(test.boxes/test.entries+1))
			for entry, site := range entries {
				chosen := Choose(entry, site, boxes, Fleet{Entries: test.entries})
				if len(chosen) > limit || test.all != (len(chosen) == len(boxes)) {
					t.Fatalf("%s selects %d boxes", entry, len(chosen))
				}
				for _, box := range chosen {
					selections[box.Box]++
					weights += box.Weight
				}
			}
			least, most := len(entries), 0
			for _, box := range boxes {
				least, most = min(least, selections[box]), max(most, selections[box])
			}
			if least < test.least || most > test.most {
				t.Errorf("%d to %d entries select a box, want %d to %d", least, most, test.least, test.most)
			}
			if mean := weights / float64(len(boxes)); math.Abs(mean/float64(len(entries))-1) > 0.05 {
				t.Errorf("%f entries by weight, want %d", mean, len(entries))
			}
		})
	}
}

// TestChoiceChangesLittle checks that removing a box changes at most one selected box of an entry.
func TestChoiceChangesLittle(t *testing.T) {
	boxes, _ := fleet(200, 0, 5)
	before := make(map[Box]bool)
	for _, box := range Choose("e", "site0", boxes, Fleet{Entries: 50}) {
		before[box.Box] = true
	}
	after, changed := Choose("e", "site0", append(boxes[:17:17], boxes[18:]...), Fleet{Entries: 50}), 0
	for _, box := range after {
		if !before[box.Box] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d selected boxes change, want at most 1", changed)
	}
}

// TestEntriesWithoutLocalBoxes checks that entries of a site that lost its boxes spread over the boxes of other sites.
func TestEntriesWithoutLocalBoxes(t *testing.T) {
	boxes, entries := fleet(204, 53, 5)
	var left []Box
	for _, box := range boxes {
		if box.Site != "site0" {
			left = append(left, box)
		}
	}
	selections := make(map[Box]int)
	for entry, site := range entries {
		if site == "site0" {
			for _, box := range Choose(entry, site, left, Fleet{Entries: 53}) {
				selections[box.Box]++
			}
		}
	}
	most := 0
	for _, n := range selections {
		most = max(most, n)
	}
	if len(selections) < len(left)/2 || most > 6 {
		t.Errorf("%d of %d boxes are selected, one by %d entries", len(selections), len(left), most)
	}
}
