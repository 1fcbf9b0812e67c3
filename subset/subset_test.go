package subset

import (
	"fmt"
	"math"
	"testing"
)

// fleet returns boxes, and entries with their sites, spread over sites evenly.
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

// TestChoose proves that neither an entry nor a box gets more links with the fleet, that no box is left without entries, and
// that entries know their number by what boxes tell.
func TestChoose(t *testing.T) {
	for name, test := range map[string]struct {
		boxes, entries, sites int
		// least and most are how many entries hear a box.
		least, most int
		all         bool
	}{
		"a small fleet is heard whole": {20, 5, 3, 5, 5, true},
		"of several regions":           {76, 16, 3, 5, 16, false},
		"before it grows":              {120, 53, 5, 8, 30, false},
		"hundreds":                     {204, 53, 5, 4, 20, false},
		"a site alone":                 {40, 10, 1, 2, 10, false},
		"as many entries as boxes":     {300, 300, 5, 20, 64, false},
		"many boxes an entry":          {2200, 69, 23, 3, 12, false},
	} {
		t.Run(name, func(t *testing.T) {
			boxes, entries := fleet(test.boxes, test.entries, test.sites)
			hears, weights := make(map[Box]int), 0.0
			limit := max(nearLeast+farLeast, (nearShares+farShares)*(test.boxes/test.entries+1))
			for entry, site := range entries {
				chosen := Choose(entry, site, boxes, test.entries)
				if len(chosen) > limit || test.all != (len(chosen) == len(boxes)) {
					t.Fatalf("%s hears %d boxes", entry, len(chosen))
				}
				for _, box := range chosen {
					hears[box.Box]++
					weights += box.Weight
				}
			}
			least, most := len(entries), 0
			for _, box := range boxes {
				least, most = min(least, hears[box]), max(most, hears[box])
			}
			if least < test.least || most > test.most {
				t.Errorf("%d to %d entries hear a box, want %d to %d", least, most, test.least, test.most)
			}
			if mean := weights / float64(len(boxes)); math.Abs(mean/float64(len(entries))-1) > 0.05 {
				t.Errorf("%f entries by the boxes, want %d", mean, len(entries))
			}
		})
	}
}

// TestChoiceIsStable proves that a box that comes or goes changes one place of an entry's choice.
func TestChoiceIsStable(t *testing.T) {
	boxes, _ := fleet(200, 0, 5)
	before := make(map[Box]bool)
	for _, box := range Choose("e", "site0", boxes, 50) {
		before[box.Box] = true
	}
	after, changed := Choose("e", "site0", append(boxes[:17:17], boxes[18:]...), 50), 0
	for _, box := range after {
		if !before[box.Box] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d places change", changed)
	}
}

// TestLossOfASite proves that entries whose site has lost its boxes spread over those of the others.
func TestLossOfASite(t *testing.T) {
	boxes, entries := fleet(204, 53, 5)
	var left []Box
	for _, box := range boxes {
		if box.Site != "site0" {
			left = append(left, box)
		}
	}
	heard := make(map[Box]int)
	for entry, site := range entries {
		if site == "site0" {
			for _, box := range Choose(entry, site, left, 53) {
				heard[box.Box]++
			}
		}
	}
	most := 0
	for _, n := range heard {
		most = max(most, n)
	}
	if len(heard) < len(left)/2 || most > 6 {
		t.Errorf("%d of %d boxes are heard, one by %d entries", len(heard), len(left), most)
	}
}
