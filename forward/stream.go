package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
)

const (
	// maxEvent bounds an event, in bytes. One of up to usualEvent does not count as held.
	maxEvent   = 1 << 20
	usualEvent = 4 << 10
	// A stream that pauses for pauseFactor times the route's pause goal, at least minPause, is hedged.
	pauseFactor = 2
	minPause    = 800 * time.Millisecond
	// maxBuffered bounds, in bytes, the events buffered for a successor; beyond it the successor is given up.
	maxBuffered = 64 << 10
)

var (
	idPrefix          = []byte("id:")
	errLongEvent      = &InvalidResponseError{Reason: "event is too long"}
	errTruncatedEvent = &InvalidResponseError{Reason: "stream ends within an event"}
	errEndedByExit    = &InvalidResponseError{Reason: "server has exited at the end of a response without a length"}
	errNotResumable   = errors.New("stream is not resumable")
)

// callerStream is a stream relayed to the caller from one or more servers in turn.
type callerStream struct {
	call       *call
	version    contract.Version
	headerSent bool
	out        *http.ResponseController
	// hasEventID is set once the caller has an event with an id, callerGone once a write to the caller has failed.
	hasEventID atomic.Bool
	callerGone atomic.Bool

	// mu guards the fields below and writes to the caller.
	mu        sync.Mutex
	lastEvent string
	// successor is the attempt that may continue the stream after lastEvent. buffered are the events received since;
	// they are written if the successor fails.
	successor     *attempt
	buffered      [][]byte
	bufferedBytes int
}

// relayStream relays events and continues at another server of the same version when the connection breaks.
func (c *call) relayStream(ctx context.Context, a *attempt) {
	s := &callerStream{call: c, version: a.version(), lastEvent: c.info.LastEvent, out: http.NewResponseController(c.w)}
	c.mu.Lock()
	c.stream = s
	c.mu.Unlock()
	err := s.relay(a)
	for err != nil {
		c.recordResult(a, resultLost, err)
		a.close()
		next, nextErr := s.nextAttempt(ctx, a)
		if nextErr != nil {
			c.outcome("cut", http.StatusOK, errors.Join(nextErr, err))
			panic(http.ErrAbortHandler)
		}
		a = next
		err = s.relay(a)
	}
	c.recordResult(a, resultDone, nil)
	a.close()
	c.outcome("answered", http.StatusOK, nil)
}

// version returns the version that the server reports for its response, or else the predicted one.
func (a *attempt) version() contract.Version {
	if a.reply.Version != 0 {
		return a.reply.Version
	}
	return a.choice.version
}

// nextAttempt returns the attempt that continues the stream after gone has failed.
func (s *callerStream) nextAttempt(ctx context.Context, gone *attempt) (*attempt, error) {
	c := s.call
	c.mu.Lock()
	if c.winner == gone {
		c.winner = nil
	}
	c.mu.Unlock()
	for until := clock.Now().Add(resumeTimeout); ; s.waitRetry(ctx) {
		if winner := c.waitWinner(); winner != nil {
			return winner, nil
		}
		s.flushAll()
		switch {
		case ctx.Err() != nil:
			return nil, context.Cause(ctx)
		case s.callerGone.Load():
			return nil, context.Canceled
		}
		err := s.resume()
		if errors.Is(err, errNotResumable) || err != nil && c.noServerBy(until) {
			return nil, err
		}
		if winner := c.waitWinner(); winner != nil {
			return winner, nil
		}
	}
}

// waitWinner waits for one of the attempts in progress to respond; nil when none does.
func (c *call) waitWinner() *attempt {
	for c.inProgress() {
		if winner, _ := c.waitResult(); winner != nil {
			return winner
		}
	}
	return nil
}

// waitRetry pauses before the next search for a server.
func (s *callerStream) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryInterval):
	}
}

// resume requests the rest of the stream from another server of the same version.
func (s *callerStream) resume() error {
	c := s.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.resumable() || c.sends >= c.route.Attempts || c.quarantined() {
		return errNotResumable
	}
	c.urgent = true
	c.readmit(clock.Now())
	want := c.requirements()
	want.version = s.version
	ch, ok := c.entry.choose(want, clock.Now())
	if !ok {
		return &NoServerError{Service: c.service.Name, Reason: "none can resume the stream"}
	}
	if !c.takeRetry(false) {
		return errRetryBudget
	}
	if c.start(ch) == nil {
		return &NoServerError{Service: c.service.Name, Reason: "the one that could resume the stream has no room left"}
	}
	resumes.Inc()
	return nil
}

// relay relays the whole events of one attempt until the stream ends or fails.
func (s *callerStream) relay(a *attempt) error {
	s.discardBuffered()
	if a.streamEnded {
		return s.complete(a)
	}
	for event := a.nextEvent; ; {
		err := s.relayEvent(a, event, a.events.Buffered() == 0)
		if err != nil {
			return err
		}
		a.call.confirmAnswer(a)
		a.startSilenceTimer(max(pauseFactor*a.call.route.PauseGoal, minPause))
		event, err = a.readEvent(event)
		a.stopSilenceTimer()
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				if err = a.verifyEnd(); err == nil {
					return s.complete(a)
				}
			}
			return a.abort(err)
		}
	}
}

// complete ends the stream after its last event, unless another attempt has taken it over.
func (s *callerStream) complete(a *attempt) error {
	c := s.call
	c.mu.Lock()
	if c.winner != a {
		c.mu.Unlock()
		return context.Cause(a.ctx)
	}
	c.done = true
	for _, other := range c.pending {
		other.cancel(nil)
	}
	c.mu.Unlock()
	s.flushAll()
	s.ensureHeader(a)
	return nil
}

// resumable reports whether another server can continue after the caller's last event.
func (s *callerStream) resumable() bool { return s.call.route.Resumable && s.hasEventID.Load() }

// startBuffering buffers events from now on for a, which continues after the event it returns.
func (s *callerStream) startBuffering(a *attempt) (last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = a
	return s.lastEvent
}

// buffersFor reports whether events are buffered because of a.
func (s *callerStream) buffersFor(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor == a && len(s.buffered) > 0
}

// flushFor writes the events buffered because of a, which has failed.
func (s *callerStream) flushFor(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor == a {
		s.flush()
	}
}

// flushAll writes all buffered events.
func (s *callerStream) flushAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
}

// flush writes the buffered events; a write error shows at the next event. mu is held.
func (s *callerStream) flush() {
	events := s.buffered
	s.successor, s.buffered, s.bufferedBytes = nil, nil, 0
	for i, event := range events {
		_ = s.write(event, i == len(events)-1)
	}
}

// discardBuffered drops the buffered events, which the new attempt sends itself.
func (s *callerStream) discardBuffered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor, s.buffered, s.bufferedBytes = nil, nil, 0
}

// ensureHeader writes the response header if the stream had no events.
func (s *callerStream) ensureHeader(a *attempt) {
	if !s.headerSent {
		s.writeHeader(a)
	}
}

// relayEvent writes or buffers an event unless the caller already has it.
func (s *callerStream) relayEvent(a *attempt, event []byte, flush bool) error {
	if version, changes := s.call.entry.cfg.Wire.EventVersion(event); changes && version != s.version {
		a.closeConn()
		return &InvalidResponseError{Reason: "version changes within the stream"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if alreadySent(eventID(event), s.lastEvent) {
		return nil
	}
	if !s.headerSent {
		s.writeHeader(a)
	}
	if s.successor != nil {
		s.buffered = append(s.buffered, bytes.Clone(event))
		if s.bufferedBytes += len(event); s.bufferedBytes > maxBuffered {
			s.successor.cancel(&SupersededError{Server: s.successor.choice.server.ID, To: a.choice.server.ID})
			s.flush()
		}
		return nil
	}
	return s.write(event, flush)
}

// write writes an event to the caller; mu is held.
func (s *callerStream) write(event []byte, flush bool) error {
	if _, err := s.call.w.Write(event); err != nil {
		s.callerGone.Store(true)
		return err
	}
	if id := eventID(event); id != "" {
		s.lastEvent = id
		s.hasEventID.Store(true)
	}
	if flush {
		return s.out.Flush()
	}
	return nil
}

// writeHeader sends the response header of the first server whose events are relayed.
func (s *callerStream) writeHeader(a *attempt) {
	s.headerSent = true
	s.call.firstEventAfter = clock.Since(s.call.started)
	firstEvent.Update(s.call.firstEventAfter.Seconds())
	copyHeader(s.call.w.Header(), a.resp.Header, s.call.entry.leaving.Load())
	s.call.w.WriteHeader(a.resp.StatusCode)
}

// alreadySent reports whether the event with this id is not after the last one the caller has.
func alreadySent(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	had, hadErr := strconv.ParseInt(last, 10, 64)
	if err != nil || hadErr != nil {
		return id == last
	}
	return n <= had
}

// readEvent returns the next whole event, including the blank line that ends it, in a buffer that is used again unless it is large.
func (a *attempt) readEvent(buf []byte) ([]byte, error) {
	event := buf[:0]
	if cap(buf) > usualEvent {
		event = nil
		a.held.release()
	}
	for {
		line, err := a.events.ReadSlice('\n')
		event = append(event, line...)
		// Usual events are not counted, so that streams go on when nothing more may be held.
		if size := cap(event); size > usualEvent {
			if heldErr := a.held.resize(int64(size)); heldErr != nil {
				return event, heldErr
			}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEvent {
				return event, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errTruncatedEvent
		case err != nil:
			return event, err
		case len(event) > maxEvent:
			return event, errLongEvent
		}
		if endsEvent(event) {
			return event, nil
		}
	}
}

// endsEvent reports whether event ends with its blank line, or consists of one only.
func endsEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) || len(event) <= 2
}

// eventID returns the id of an event; empty without one.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idPrefix); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
