package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLocalBoxes is the minimum number of boxes of the entry's own site; it leaves a choice while some servers load.
	minLocalBoxes = 24
	// minRemoteBoxes is the minimum number of boxes of other sites, used when the own site has no capacity.
	minRemoteBoxes = 16
	// localShares and remoteShares are the minimum selections as multiples of boxes per entry. In a fleet with many boxes per
	// entry each box then stays selected by several entries, even if some entries fail.
	localShares  = 3
	remoteShares = 1
)

// Box identifies a box by its host, and its site.
type Box struct {
	Host string
	Site string
}

// Selected is a selected box with its weight, the inverse of the probability that an entry selects the box. Summed over the
// entries of a box, the weights estimate the number of all entries.
type Selected struct {
	Box
	Weight float64
}

// Choose selects the boxes of an entry at a site, in no particular order; entries is the number of entries, 0 if unknown.
// It uses rendezvous hashing, so that entries need no coordination, a box that is added or removed changes at most one
// selected box, and each box is selected by about the same number of entries.
func Choose(entry, site string, boxes []Box, entries int) []Selected {
	var local, remote []Box
	for _, box := range boxes {
		if box.Site == site {
			local = append(local, box)
		} else {
			remote = append(remote, box)
		}
	}
	share := 0
	if entries > 0 {
		share = (len(boxes) + entries - 1) / entries
	}
	return append(selectTop(entry, local, max(minLocalBoxes, localShares*share)), selectTop(entry, remote, max(minRemoteBoxes, remoteShares*share))...)
}

// selectTop returns the boxes with the highest scores for an entry, at most limit.
func selectTop(entry string, boxes []Box, limit int) []Selected {
	weight := 1.0
	if len(boxes) > limit {
		weight = float64(len(boxes)) / float64(limit)
		slices.SortFunc(boxes, func(a, b Box) int { return cmp.Compare(score(entry, b), score(entry, a)) })
		boxes = boxes[:limit]
	}
	chosen := make([]Selected, len(boxes))
	for i, box := range boxes {
		chosen[i] = Selected{Box: box, Weight: weight}
	}
	return chosen
}

func score(entry string, box Box) uint64 { return xxhash.Sum64String(entry + "/" + box.Host) }
