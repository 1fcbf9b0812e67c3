package box

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/link"
)

const (
	// endCheckTime is how long it may take to find out whether the upstream has ended: a dead port on the same machine refuses at
	// once. endLife is for how long what breaks off belongs to one end.
	endCheckTime = 200 * time.Millisecond
	endLife      = time.Second
)

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
	if refuses(b.cfg.UpstreamURL) {
		end.Ended = b.lives.name(b.cfg.ID, b.cfg.Incarnation, time.Now())
	}
	return end
}

// refuses reports whether nothing listens at the host and port of an address.
func refuses(address string) bool {
	u, err := url.Parse(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTime)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
