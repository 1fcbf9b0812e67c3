package box

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/relay"
	"github.com/coralstair/coralstair/tracing"
	"github.com/coralstair/coralstair/upstream"
)

const (
	heartbeatInterval = time.Second
	bodyBufferBytes   = 32 << 10
	// digestHeader names the digest of the whole weights that produced the response.
	digestHeader = "X-Model-Digest"
)

// session is the link of one entry.
type session struct {
	box      *Box
	conn     *link.Conn
	notify   chan struct{}
	inFlight atomic.Int64
}

// handshake exchanges hellos on a link that a peer opened.
func (b *Box) handshake(conn *link.Conn) (*link.Hello, error) {
	msg, err := conn.Receive()
	if err != nil {
		return nil, err
	}
	hello, ok := msg.(*link.Hello)
	if !ok || hello.Fleet != b.cfg.Fleet {
		return nil, &link.FrameError{Reason: "no hello of this fleet"}
	}
	return hello, conn.Send(conn.Context(), b.hello())
}

func (b *Box) hello() *link.Hello {
	return &link.Hello{
		ID: b.cfg.ID, Role: string(membership.RoleBox), Fleet: b.cfg.Fleet, Site: b.cfg.Site,
		Incarnation: b.cfg.Incarnation, Revision: b.follower.Config().Revision,
	}
}

// serveEntry serves an entry's requests until its link ends.
func (b *Box) serveEntry(conn *link.Conn, hello *link.Hello) {
	s := &session{box: b, conn: conn, notify: make(chan struct{}, 1)}
	b.addSession(s)
	defer b.removeSession(s)
	b.syncRevision(conn, hello.Revision)
	go s.sendHeartbeats()
	server := relay.NewServer(conn.Context(), conn, s.serveRequest)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *link.Heartbeat:
			b.syncRevision(conn, m.Revision)
		case *link.Config:
			b.follower.Update(m.Config)
		default:
			server.Handle(msg)
		}
	}
}

// syncRevision records a peer's revision and sends the configuration if the peer's is older.
func (b *Box) syncRevision(conn *link.Conn, revision fleet.Revision) {
	if _, older := b.follower.ObservePeerRevision(revision); older {
		_ = conn.Send(conn.Context(), &link.Config{Config: b.follower.Config()})
	}
}

// sendHeartbeats sends the entry the box's state periodically, and whenever it changes.
func (s *session) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if s.conn.Send(s.conn.Context(), s.box.Heartbeat()) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-s.notify:
		case <-s.conn.Context().Done():
			return
		}
	}
}

func (b *Box) addSession(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sessions[s] = true
}

func (b *Box) closeSessions() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.sessions {
		s.conn.Close()
	}
}

func (b *Box) removeSession(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sessions, s)
}

// notifySessions sends the box's state to all entries now.
func (b *Box) notifySessions() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.sessions {
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// entryCount returns the number of entries that have a link to the box.
func (b *Box) entryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sessions)
}

// inFlightLimit is the limit of requests in flight for one more request of this entry. An entry with less than its even share
// of the slots may exceed the slots slightly; otherwise one with queued requests would take every slot that becomes free.
func (s *session) inFlightLimit() int {
	slots, entries := s.box.cfg.Slots, s.box.entryCount()
	if slots == 0 || entries == 0 || int(s.inFlight.Load()) >= slots/entries {
		return slots
	}
	return slots + (slots+overcommitDivisor-1)/overcommitDivisor
}

// overcommitDivisor is the inverse of the fraction by which the slots may be exceeded.
const overcommitDivisor = 4

// serveRequest runs one request at the upstream, if the box serves what it asks for.
func (s *session) serveRequest(ctx context.Context, req *link.Request, resp *relay.Responder) {
	limit := s.inFlightLimit()
	s.inFlight.Add(1)
	end := s.box.forwardRequest(ctx, limit, req, resp)
	s.inFlight.Add(-1)
	end.Load = s.box.gate.InFlight()
	if !s.box.cfg.Checks.Check(end.Outcome != link.OutcomeNotRun || !resp.Begun(), invariant.NotRunDidNotRun,
		"answer that had begun would end as not run: %s", end.Reason) {
		end.Outcome = link.OutcomeUnknown
	}
	metrics.GetOrCreateCounter(`coralstair_box_requests_total{outcome="` + end.Outcome.String() + `"}`).Inc()
	if err := resp.End(end); err != nil {
		s.box.log.WithError(err).Debug("box: end of answer not sent")
	}
}

func (b *Box) forwardRequest(ctx context.Context, limit int, req *link.Request, resp *relay.Responder) link.End {
	served, reason, ok := b.gate.Acquire(limit)
	if !ok {
		return link.End{Outcome: link.OutcomeNotRun, Reason: reason}
	}
	defer b.gate.Release()
	b.pacer.Charge(len(req.Body))
	if b.backoff.active(time.Now()) {
		return link.End{Outcome: link.OutcomeNotRun, Reason: "the upstream rests"}
	}
	if b.loader.isStopped(b.follower.Config()) {
		return link.End{Outcome: link.OutcomeNotRun, Reason: "the box is stopped"}
	}
	if req.Service != b.cfg.Service {
		return link.End{Outcome: link.OutcomeNotRun, Reason: "the box does not offer the service"}
	}
	if req.Digest != "" && req.Digest != served.Digest {
		return link.End{Outcome: link.OutcomeNotRun, Reason: "the box serves another version"}
	}
	header := http.Header(req.Header)
	ctx, span := tracing.Start(tracing.Extract(ctx, header), "box", attribute.String("box", b.cfg.ID))
	defer span.End()
	ctx, upstreamSpan := tracing.Start(ctx, "upstream")
	defer upstreamSpan.End()
	tracing.Inject(ctx, header)
	upstreamResp, err := b.loader.client.Do(ctx, req.Method, req.Path, header, req.Body)
	if err != nil {
		return b.callFailed(err)
	}
	defer func() { _ = upstreamResp.Body.Close() }()
	b.applyRetryAfter(upstreamResp)
	if got := upstreamResp.Header.Get(digestHeader); got != "" && got != served.Whole {
		b.loader.markStateStale()
		return link.End{Outcome: link.OutcomeUnknown, Reason: "the upstream answered with other weights"}
	}
	return b.relayResponse(resp, upstreamResp, served)
}

// relayResponse relays the upstream's response.
func (b *Box) relayResponse(resp *relay.Responder, upstreamResp *http.Response, served ServedVersion) link.End {
	head := link.Head{
		Status: upstreamResp.StatusCode, Header: upstream.EndToEndHeader(upstreamResp.Header),
		Version: served.Version, Digest: served.Digest,
	}
	if err := resp.Head(head); err != nil {
		return link.End{Outcome: link.OutcomeUnknown, Reason: err.Error()}
	}
	stream := upstream.IsStream(upstreamResp.Header)
	for {
		buf := make([]byte, bodyBufferBytes)
		n, err := upstreamResp.Body.Read(buf)
		if n > 0 && stream {
			resp.ClearDeadline()
		}
		if n > 0 {
			b.pacer.Charge(n)
			if sendErr := resp.Data(buf[:n]); sendErr != nil {
				return link.End{Outcome: link.OutcomeUnknown, Reason: sendErr.Error()}
			}
		}
		if errors.Is(err, io.EOF) && !b.endedByExit(upstreamResp) {
			break
		}
		if err != nil {
			return b.connectionLost("the upstream broke off: " + err.Error())
		}
	}
	now, _ := b.gate.State()
	b.cfg.Checks.Check(now == served, invariant.OneVersion, "answer began with %s and ended with %s", served.Digest, now.Digest)
	return link.End{Outcome: link.OutcomeRan, Digest: now.Digest}
}

// callFailed returns the end of a request whose call to the upstream failed.
func (b *Box) callFailed(err error) link.End {
	var unsent *upstream.UnsentError
	if errors.As(err, &unsent) {
		b.loader.markStateStale()
		return link.End{Outcome: link.OutcomeNotRun, Reason: err.Error()}
	}
	return b.connectionLost(err.Error())
}
