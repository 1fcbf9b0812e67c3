package box

import (
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/probe"
)

// endWindow is how long failed requests are attributed to the same end of the upstream, whose connections break together.
const endWindow = time.Second

// upstreamIncarnations names the incarnations of the upstream that ended, so that entries can tell them apart.
type upstreamIncarnations struct {
	mu        sync.Mutex
	count     int
	countedAt time.Time
}

// endedName returns the name of the incarnation that ended now.
func (u *upstreamIncarnations) endedName(box, incarnation string, now time.Time) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count == 0 || now.Sub(u.countedAt) >= endWindow {
		u.count++
		u.countedAt = now
	}
	return fmt.Sprintf("%s/%s#%d", box, incarnation, u.count)
}

// connectionLost returns the end of a request with unknown progress, and names the upstream's incarnation if it has ended.
func (b *Box) connectionLost(reason string) link.End {
	end := link.End{Outcome: link.OutcomeUnknown, Reason: reason}
	if u, err := url.Parse(b.cfg.UpstreamURL); err == nil && probe.Refuses(u.Host) {
		end.EndedIncarnation = b.incarnations.endedName(b.cfg.ID, b.cfg.Incarnation, time.Now())
	}
	return end
}

// endedByExit reports whether a response without a length may have ended because the upstream exited. Another engine may listen at the
// address by now, so an engine is asked for its state; plain services can't be told apart.
func (b *Box) endedByExit(resp *http.Response) bool {
	if b.cfg.Kind == fleet.KindModel {
		return probe.EndsWithConnection(resp) && !b.loader.engineLives()
	}
	u, err := url.Parse(b.cfg.UpstreamURL)
	return err == nil && probe.EndedByExit(resp, u.Host)
}
