package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coralstair/coralstair/contract"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// pauseFactor times the pause that is still in time is how long a stream may pause before it goes on elsewhere.
	pauseFactor = 2
	minPause    = 800 * time.Millisecond
)

var (
	eventID      = []byte("id:")
	errLongEvent = &BrokenAnswerError{Reason: "an event is too long"}
	errTornEvent = &BrokenAnswerError{Reason: "it ends within an event"}
	errNoResume  = errors.New("the stream can not go on elsewhere")
)

// passage is a stream on its way to the caller, from one server after another.
type passage struct {
	call    *call
	version contract.Version
	begun   bool
	last    string
	out     *http.ResponseController
}

// stream passes events on and goes on at another server of the same version when theirs breaks off.
func (c *call) stream(ctx context.Context, a *attempt) (step, error) {
	p := &passage{call: c, version: a.reply.Version, last: c.ask.LastEvent, out: http.NewResponseController(c.w)}
	if p.version == 0 {
		p.version = a.choice.version
	}
	err := p.pass(a)
	if err != nil && !p.begun {
		return stepLost, err
	}
	c.exit(a)
	a.ticket.end()
	for err != nil {
		c.note(c.last, stepLost, err)
		if ctx.Err() != nil {
			break
		}
		if err = p.resume(ctx); errors.Is(err, errNoResume) {
			break
		}
	}
	if err != nil {
		c.outcome("cut", http.StatusOK, err)
		panic(http.ErrAbortHandler)
	}
	c.outcome("answered", http.StatusOK, nil)
	return stepDone, nil
}

// resume takes the rest of the stream from another server of the same version.
func (p *passage) resume(ctx context.Context) error {
	c := p.call
	if !c.route.Resumable || p.last == "" || c.offered >= max(c.route.Attempts, 2) {
		return errNoResume
	}
	now := time.Now()
	c.urgent = true
	want := c.wanted()
	want.exact = p.version
	ch, ok := c.entry.choose(want, now)
	if !ok || !c.mayRepeat() {
		return errNoResume
	}
	c.offered++
	c.last = ch
	c.not[ch.server.ID] = true
	resumes.Inc()
	a := c.attempt(ctx, ch, ch.silence())
	defer a.finish()
	if _, err := a.send(Send{LastEvent: p.last, Version: p.version}); err != nil {
		return err
	}
	if !a.streams() {
		return &BrokenAnswerError{Reason: "the rest of the stream is refused: " + a.resp.Status}
	}
	return p.pass(a)
}

// pass passes the events of one server on, whole ones only.
func (p *passage) pass(a *attempt) error {
	events := bufio.NewReaderSize(a.resp.Body, connBuffer)
	var event []byte
	for {
		var err error
		if event, err = readEvent(events, event[:0]); err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				p.finish(a)
				return nil
			}
			a.spoil()
			if cause := context.Cause(a.ctx); cause != nil {
				return cause
			}
			return &BrokenAnswerError{Reason: err.Error()}
		}
		a.heardEvent()
		if err := p.passEvent(a, event, events.Buffered() == 0); err != nil {
			return err
		}
	}
}

// finish ends a stream whose last event has come; one without events still has its head.
func (p *passage) finish(a *attempt) {
	if !p.begun {
		p.begin(a)
	}
}

// passEvent passes one event on; one that the caller already has is dropped.
func (p *passage) passEvent(a *attempt, event []byte, flush bool) error {
	if version, changes := p.call.entry.cfg.Wire.EventVersion(event); changes && version != p.version {
		a.spoil()
		return &BrokenAnswerError{Reason: "its version changes"}
	}
	id := idOf(event)
	if p.has(id) {
		return nil
	}
	if !p.begun {
		p.begin(a)
	}
	if _, err := p.call.w.Write(event); err != nil {
		return err
	}
	if id != "" {
		p.last = id
	}
	if flush {
		return p.out.Flush()
	}
	return nil
}

// begin sends the head, that of the first server whose events are passed on.
func (p *passage) begin(a *attempt) {
	p.begun = true
	p.call.streamsFrom(p.version)
	p.call.first = time.Since(p.call.started)
	firstEvent.Update(p.call.first.Seconds())
	copyHead(p.call.w.Header(), a.resp.Header, p.call.entry.leaving.Load())
	p.call.w.WriteHeader(a.resp.StatusCode)
}

// has reports whether the caller already has the event with an id.
func (p *passage) has(id string) bool {
	if id == "" || p.last == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(p.last, 10, 64)
	if err != nil || lastErr != nil {
		return id == p.last
	}
	return n <= last
}

// heardEvent notes that the server is at work: from now on a pause decides.
func (a *attempt) heardEvent() {
	a.ticket.begun(time.Now())
	if a.quiet != nil && !a.quiet.Stop() {
		return
	}
	if a.call.route.Resumable {
		a.giveUpAfter(max(pauseFactor*a.call.route.PauseGoal, minPause))
	}
}

// readEvent appends the next whole event, with the blank line that ends it.
func readEvent(r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEvent {
				return event, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, errTornEvent
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

// endsEvent reports whether an event ends with its blank line; one of a blank line alone does.
func endsEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")) || len(event) <= 2
}

// idOf returns the id of an event, empty when it has none.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
