package quarantine

import (
	"bytes"
	"slices"
)

// endsToHold is how many servers have to end under a request for it to be held. Requests that were at one of them by chance are
// some ten at each end, those at two are a third of these where a dozen servers end within seconds, and one at three without
// fault is explained by the request that is.
const endsToHold = 3

// verdict returns the requests that are held, by the lives of servers that ended with each in progress. A server ends under one
// request and takes the others along: a request all of whose ends are shared with a held one that has more of them is not held.
// Without that 8 of 76 requests without fault were held beside two that end servers (12 servers, requests of one in ten callers
// alike).
func verdict(lives map[Fingerprint]map[string]bool) map[Fingerprint]bool {
	var suspects []Fingerprint
	for request, ended := range lives {
		if len(ended) >= endsToHold {
			suspects = append(suspects, request)
		}
	}
	slices.SortFunc(suspects, func(a, b Fingerprint) int {
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
		for life := range ended {
			blamed[life] = max(blamed[life], len(ended))
		}
	}
	return held
}

// explained reports whether each life has ended under a held request with more ends than these.
func explained(ended map[string]bool, blamed map[string]int) bool {
	for life := range ended {
		if blamed[life] <= len(ended) {
			return false
		}
	}
	return true
}
