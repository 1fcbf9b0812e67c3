package quarantine

import (
	"bytes"
	"maps"
	"slices"
)

// quarantineThreshold is how many server exits quarantine a request; fewer may be a coincidence.
// Of 76 requests that were by chance in flight at 77 exits of 12 servers within 15 s, 44 were at one exit, 22 at two and 10 at three or more;
// selectQuarantined exempts those 10.
const quarantineThreshold = 3

// selectQuarantined returns the requests to quarantine among suspects, given by the incarnations that exited with them. One
// request crashes a server while others are in flight, so a request is exempt if it shares each of its exits with a
// quarantined request that has more exits.
func selectQuarantined(incarnations map[Fingerprint][]string) map[Fingerprint]bool {
	suspects := slices.SortedFunc(maps.Keys(incarnations), func(a, b Fingerprint) int {
		if more := len(incarnations[b]) - len(incarnations[a]); more != 0 {
			return more
		}
		return bytes.Compare(a[:], b[:])
	})
	quarantined := make(map[Fingerprint]bool)
	// maxExits is, by incarnation, the largest exit count of a quarantined request in flight there.
	maxExits := make(map[string]int)
	for _, request := range suspects {
		exited := incarnations[request]
		if attributed(exited, maxExits) {
			continue
		}
		quarantined[request] = true
		for _, incarnation := range exited {
			maxExits[incarnation] = max(maxExits[incarnation], len(exited))
		}
	}
	return quarantined
}

// attributed reports whether a request shares each of its exits with a quarantined request that has more exits.
func attributed(exited []string, maxExits map[string]int) bool {
	for _, incarnation := range exited {
		if maxExits[incarnation] <= len(exited) {
			return false
		}
	}
	return true
}
