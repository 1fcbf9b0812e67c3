package box

import (
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/probe"
)

// endLife is for how long what breaks off belongs to one end of the upstream: its connections break within milliseconds.
const endLife = time.Second

// upstreamLives names the lives of the upstream that have ended, so that entries tell one end from another.
type upstreamLives struct {
	mu    sync.Mutex
	ended int
	at    time.Time
}

// name returns the name of the life that has ended now.
func (l *upstreamLives) name(box, incarnation string, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended == 0 || now.Sub(l.at) >= endLife {
		l.ended++
		l.at = now
	}
	return fmt.Sprintf("%s/%s#%d", box, incarnation, l.ended)
}

// lost says that it is not known how far a request ran, and whether the upstream has ended under it.
func (b *Box) lost(reason string) link.End {
	end := link.End{Outcome: link.OutcomeUnknown, Reason: reason}
	if u, err := url.Parse(b.cfg.UpstreamURL); err == nil && probe.Refuses(u.Host) {
		end.Ended = b.lives.name(b.cfg.ID, b.cfg.Incarnation, time.Now())
	}
	return end
}
