package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

// A caller that was refused comes back to another entry of its site. Entries of a site tell each other what they refused, so that
// it is known there for what it is: first tries go before returns where there is not room for all. Links are opened only when
// there is something to tell.

const (
	// gatherRefusals is how long refusals are gathered into one message: no caller is told to come back so soon.
	gatherRefusals = 50 * time.Millisecond
	// siblingDialTime bounds the opening of a link within the site: one that is gone must not keep others from being told.
	siblingDialTime = 200 * time.Millisecond
	// siblingIdle is how long a link rests before it is closed, siblingRest how long an entry that was not reached is left alone.
	siblingIdle = 10 * time.Second
	siblingRest = time.Second
	// mostUntold bounds what waits to be told.
	mostUntold = 4096
)

// siblings tells the other entries of the site what this one refuses.
type siblings struct {
	entry *Entry
	woken chan struct{}

	mu     sync.Mutex
	untold []admission.Refusal

	// links are used by serve alone.
	links map[string]*siblingLink
}

// siblingLink is a link to another entry; conn is nil while there is none, rests until when it is left alone.
type siblingLink struct {
	conn  *link.Conn
	used  time.Time
	rests time.Time
}

func newSiblings(e *Entry) *siblings {
	return &siblings{entry: e, woken: make(chan struct{}, 1), links: make(map[string]*siblingLink)}
}

// refused notes a request that this entry refuses, here and for the others.
func (s *siblings) refused(refusal admission.Refusal, now time.Time) {
	s.entry.returns.Note(refusal, now)
	s.mu.Lock()
	if len(s.untold) < mostUntold {
		s.untold = append(s.untold, refusal)
	}
	s.mu.Unlock()
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// take notes what another entry refused.
func (s *siblings) take(msg *link.Refused) {
	now := clock.Now()
	for _, r := range msg.Refusals {
		s.entry.returns.Note(admission.Refusal{Print: r.Print, First: now.Add(-r.Ago), Ends: now.Add(r.Left)}, now)
	}
}

// serve tells the other entries of the site until ctx ends.
func (s *siblings) serve(ctx context.Context) error {
	defer s.closeAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.woken:
		case <-time.After(siblingIdle):
			s.closeIdle()
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(gatherRefusals):
		}
		s.tell(ctx)
	}
}

// tell tells all what has been refused since the last time.
func (s *siblings) tell(ctx context.Context) {
	s.mu.Lock()
	untold := s.untold
	s.untold = nil
	s.mu.Unlock()
	now := clock.Now()
	msg := &link.Refused{Refusals: make([]link.Refusal, len(untold))}
	for i, r := range untold {
		msg.Refusals[i] = link.Refusal{Print: r.Print, Ago: now.Sub(r.First), Left: r.Ends.Sub(now)}
	}
	for _, host := range s.entry.reader.siblings() {
		s.tellOne(ctx, host, msg)
	}
}

// tellOne tells one entry; what it misses it takes for first tries.
func (s *siblings) tellOne(ctx context.Context, host string, msg *link.Refused) {
	l := s.links[host]
	if l == nil {
		l = &siblingLink{}
		s.links[host] = l
	}
	now := clock.Now()
	if l.conn == nil && now.Before(l.rests) {
		return
	}
	if l.conn == nil {
		l.conn = s.dial(ctx, host)
	}
	l.used = now
	if l.conn == nil || !tellNow(l.conn, msg) {
		l.close()
		l.rests = now.Add(siblingRest)
	}
}

// dial opens a link to another entry; nil when that is not reached.
func (s *siblings) dial(ctx context.Context, host string) *link.Conn {
	ctx, cancel := context.WithTimeout(ctx, siblingDialTime)
	defer cancel()
	conn, err := link.Dial(ctx, s.entry.reports.client, s.entry.cfg.Machine.LinkAt(host), nil)
	if err != nil {
		return nil
	}
	return conn
}

// closeIdle closes the links that have rested for long.
func (s *siblings) closeIdle() {
	for host, l := range s.links {
		if clock.Since(l.used) >= siblingIdle {
			l.close()
			delete(s.links, host)
		}
	}
}

func (s *siblings) closeAll() {
	for _, l := range s.links {
		l.close()
	}
}

// close ends the link, if there is one.
func (l *siblingLink) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// returnPrint tells a request when it comes again, as well as needs be where nothing but an order hangs on it.
func (c *call) returnPrint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.teamName(), c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// sinceFirstTry returns how long ago the request was tried first: 0 for a first try.
func (c *call) sinceFirstTry() time.Duration {
	if !c.ordered() {
		return 0
	}
	first, returns := c.entry.returns.Take(c.returnPrint(), c.callerEnds(), c.started)
	if !returns {
		return 0
	}
	return c.started.Sub(first)
}

// noteRefused has the entries of the site know the request when its caller returns.
func (c *call) noteRefused() {
	if c.ordered() {
		c.entry.siblings.refused(admission.Refusal{Print: c.returnPrint(), First: c.started.Add(-c.waited), Ends: c.callerEnds()}, clock.Now())
	}
}

// ordered reports whether first tries and returns are told apart for the request.
func (c *call) ordered() bool { return c.service != nil && c.service.Engine != nil && c.ask.Wait > 0 }

// callerEnds returns when the caller's own time ends.
func (c *call) callerEnds() time.Time { return c.started.Add(c.ask.Wait) }
