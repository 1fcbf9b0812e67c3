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

// A refused caller retries at another entry of its site. The entries of a site send each other the requests they refused, so that
// first tries take precedence over retries when there is not room for both. Links are opened on demand.

const (
	// refusalBatchDelay is how long refusals are collected for one message; no caller is told to retry sooner.
	refusalBatchDelay = 50 * time.Millisecond
	// peerDialTimeout bounds the dialing of an entry, so that an unreachable one does not delay the others' messages.
	peerDialTimeout = 200 * time.Millisecond
	// A link is closed after it was idle for peerIdleTimeout; an entry that was not reached is skipped for peerBackoff.
	peerIdleTimeout = 10 * time.Second
	peerBackoff     = time.Second
	// maxPendingRefusals bounds the refusals that wait to be sent.
	maxPendingRefusals = 4096
)

// peerNotifier sends the requests that this entry refused to the other entries of the site.
type peerNotifier struct {
	entry  *Entry
	wakeup chan struct{}

	mu      sync.Mutex
	pending []admission.Refusal

	// links is used by serve only.
	links map[string]*peerLink
}

// peerLink is a link to another entry; conn is nil while there is none, and the entry is not dialed before retryAt.
type peerLink struct {
	conn    *link.Conn
	usedAt  time.Time
	retryAt time.Time
}

func newPeerNotifier(e *Entry) *peerNotifier {
	return &peerNotifier{entry: e, wakeup: make(chan struct{}, 1), links: make(map[string]*peerLink)}
}

// add records a request that this entry refused and queues it for the other entries.
func (pn *peerNotifier) add(refusal admission.Refusal, now time.Time) {
	pn.entry.retryDetector.Record(refusal, now)
	pn.mu.Lock()
	if len(pn.pending) < maxPendingRefusals {
		pn.pending = append(pn.pending, refusal)
	}
	pn.mu.Unlock()
	select {
	case pn.wakeup <- struct{}{}:
	default:
	}
}

// apply records the requests that another entry refused.
func (pn *peerNotifier) apply(msg *link.RefusedRequests) {
	now := clock.Now()
	for _, r := range msg.Refusals {
		pn.entry.retryDetector.Record(admission.Refusal{Fingerprint: r.Fingerprint, FirstTry: now.Add(-r.Age), Deadline: now.Add(r.Remaining)}, now)
	}
}

// serve sends queued refusals and what teams used to the other entries of the site until ctx ends.
func (pn *peerNotifier) serve(ctx context.Context) error {
	defer pn.closeAll()
	// tell fires when to send what teams used again; it is nil while there is no shortage.
	var tell <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tell:
			tell = pn.notifyTeams(ctx)
			continue
		case <-pn.wakeup:
		case <-time.After(peerIdleTimeout):
			pn.closeIdle()
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(refusalBatchDelay):
		}
		pn.notifyPeers(ctx)
		if tell == nil {
			tell = pn.notifyTeams(ctx)
		}
	}
}

// notifyPeers sends the queued refusals to all other entries of the site.
func (pn *peerNotifier) notifyPeers(ctx context.Context) {
	pn.mu.Lock()
	refusals := pn.pending
	pn.pending = nil
	pn.mu.Unlock()
	now := clock.Now()
	msg := &link.RefusedRequests{Refusals: make([]link.Refusal, len(refusals))}
	for i, r := range refusals {
		msg.Refusals[i] = link.Refusal{Fingerprint: r.Fingerprint, Age: now.Sub(r.FirstTry), Remaining: r.Deadline.Sub(now)}
	}
	for _, host := range pn.entry.reader.peerHosts() {
		pn.notifyPeer(ctx, host, msg)
	}
}

// notifyPeer sends a message to one entry; an entry that misses it takes retries for first tries, or counts less work of teams.
func (pn *peerNotifier) notifyPeer(ctx context.Context, host string, msg link.Message) {
	l := pn.links[host]
	if l == nil {
		l = &peerLink{}
		pn.links[host] = l
	}
	now := clock.Now()
	if l.conn == nil && now.Before(l.retryAt) {
		return
	}
	if l.conn == nil {
		l.conn = pn.dial(ctx, host)
	}
	l.usedAt = now
	if l.conn == nil || !trySend(l.conn, msg) {
		l.close()
		l.retryAt = now.Add(peerBackoff)
	}
}

// dial opens a link to another entry; nil if it is not reached.
func (pn *peerNotifier) dial(ctx context.Context, host string) *link.Conn {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, pn.entry.boxLinks.client, pn.entry.cfg.Machine.LinkAddress(host), nil)
	if err != nil {
		return nil
	}
	return conn
}

func (pn *peerNotifier) closeIdle() {
	for host, l := range pn.links {
		if clock.Since(l.usedAt) >= peerIdleTimeout {
			l.close()
			delete(pn.links, host)
		}
	}
}

func (pn *peerNotifier) closeAll() {
	for _, l := range pn.links {
		l.close()
	}
}

// close closes the link if it is open.
func (l *peerLink) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// retryHash identifies a request across tries; a collision affects only the order of requests.
func (c *call) retryHash() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.teamName(), c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// sinceFirstTry returns the time since the caller's first try, 0 for a first try.
func (c *call) sinceFirstTry() time.Duration {
	if !c.tracked() {
		return 0
	}
	first, isRetry := c.entry.retryDetector.Match(c.retryHash(), c.callerDeadline(), c.started)
	if !isRetry {
		return 0
	}
	return c.started.Sub(first)
}

// announceRefusal lets the entries of the site recognise the request when its caller retries.
func (c *call) announceRefusal() {
	if c.tracked() {
		c.entry.peers.add(admission.Refusal{Fingerprint: c.retryHash(), FirstTry: c.started.Add(-c.sinceFirst), Deadline: c.callerDeadline()}, clock.Now())
	}
}

// tracked reports whether retries of the request are told apart from first tries.
func (c *call) tracked() bool {
	return c.service != nil && c.service.Engine != nil && c.info.Timeout > 0
}

func (c *call) callerDeadline() time.Time { return c.started.Add(c.info.Timeout) }
