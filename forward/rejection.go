package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// rejection is why a server can't take a request, as it is logged; empty if the server can.
type rejection string

const (
	accepted            rejection = ""
	rejectedSite        rejection = "site"
	rejectedLeaving     rejection = "leaving"
	rejectedGone        rejection = "gone"
	rejectedTried       rejection = "tried"
	rejectedMisdirected rejection = "misdirected"
	rejectedLimited     rejection = "limited"
	rejectedNotLoaded   rejection = "not loaded"
	rejectedVersion     rejection = "version"
	rejectedClosing     rejection = "closing"
	rejectedOutdated    rejection = "outdated"
)

// rejections returns why the servers of a service can't take a request, with the number of servers for each reason.
func (e *Entry) rejections(want requirements, now time.Time) string {
	want.entries = e.limitSharers()
	counts := make(map[rejection]int)
	for _, up := range slices.Concat(e.upstreams.preferred(want.service.Name), e.upstreams.fallback(want.service.Name)) {
		if _, _, why := e.evaluate(up, want, now); why != accepted {
			counts[why]++
		}
	}
	var parts []string
	for why, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", why, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
