package quarantine

import (
	"bytes"
	"maps"
	"slices"
)

// endsToHold is how many servers have to end under a request for it to be held. Fewer say little: of 76 requests that were by chance
// at 77 ends of 12 servers within 15 s, 44 were at one, 22 at two and 10 at three or more.
const endsToHold = 3

// verdict returns the requests that are held of those under which enough servers have ended, by their lives. A server ends under one
// request and takes the others along: a request all of whose ends are shared with a held one that has more of them is not held.
// Without that those 10 would be held beside the two that ended the servers.
func verdict(lives map[Fingerprint][]string) map[Fingerprint]bool {
	suspects := slices.SortedFunc(maps.Keys(lives), func(a, b Fingerprint) int {
		if more := len(lives[b]) - len(lives[a]); more != 0 {
			return more
		}
		return bytes.Compare(a[:], b[:])
	})
	held := make(map[Fingerprint]bool)
	// blamed holds for a life the most ends of a held request that was there.
	blamed := make(map[string]int)
	for _, request := range suspects {
		ended := lives[request]
		if explained(ended, blamed) {
			continue
		}
		held[request] = true
		for _, life := range ended {
			blamed[life] = max(blamed[life], len(ended))
		}
	}
	return held
}

// explained reports whether each life has ended under a held request with more ends than these.
func explained(ended []string, blamed map[string]int) bool {
	for _, life := range ended {
		if blamed[life] <= len(ended) {
			return false
		}
	}
	return true
}
