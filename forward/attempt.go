package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/coralstair/coralstair/contract"
)

const (
	// maxWhole is the longest answer that is checked as a whole before it is passed on.
	maxWhole = 16 << 20
	// silenceFactor times what was predicted, and silenceRest more, is how long a server may be silent before a request
	// that may run again is sent to another.
	silenceFactor = 2
	silenceRest   = 700 * time.Millisecond
	minSilence    = 900 * time.Millisecond
)

const contentEvents = "text/event-stream"

// attempt is one send of a call to a server.
type attempt struct {
	call   *call
	choice choice
	ticket *ticket
	ctx    context.Context
	cancel context.CancelCauseFunc
	quiet  *time.Timer
	rank   int
	conn   *conn
	before int64
	resp   *http.Response
	reply  Reply
}

// try sends the call to a server and takes its answer; a whole failure of the server's own is returned.
func (c *call) try(ctx context.Context, ch choice) (*answer, step, error) {
	a := c.attempt(ctx, ch, c.silence(ch))
	defer a.finish()
	if result, err := a.send(Send{}); err != nil {
		return nil, result, err
	}
	if a.streams() {
		result, err := c.stream(ctx, a)
		return nil, result, err
	}
	return a.whole()
}

// attempt prepares a send that is given up after so long a silence.
func (c *call) attempt(ctx context.Context, ch choice, silence time.Duration) *attempt {
	a := &attempt{call: c, choice: ch, ticket: ch.up.take(c.ask.Prompt, ch.first, time.Now()), rank: c.priority()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if silence > 0 {
		a.giveUpAfter(silence)
	}
	c.enter(a)
	return a
}

// giveUpAfter ends the attempt unless the server is heard within a silence; the first such time starts the clock, a
// later one sets it anew.
func (a *attempt) giveUpAfter(silence time.Duration) {
	if a.quiet == nil {
		a.quiet = time.AfterFunc(silence, func() { a.cancel(&SilentError{Server: a.choice.server.ID}) })
		return
	}
	a.quiet.Reset(silence)
}

// silence returns how long a server may be silent before another is tried; 0 when none may be.
func (c *call) silence(ch choice) time.Duration {
	if !c.route.Repeatable() || c.offered >= c.route.Attempts {
		return 0
	}
	return ch.silence()
}

// silence returns how long the server may be silent, by what was predicted of its first event.
func (ch choice) silence() time.Duration {
	return max(silenceFactor*ch.first+silenceRest, minSilence)
}

// finish ends the attempt; an answer that was not read to its end closes the connection.
func (a *attempt) finish() {
	a.call.exit(a)
	if a.quiet != nil {
		a.quiet.Stop()
	}
	a.ticket.end()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.cancel(nil)
	if a.conn != nil {
		a.conn.end(a.reply.KeepAlive)
	}
}

// spoil closes the connection: what comes on it is not to be trusted.
func (a *attempt) spoil() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// send sends the request and takes the head of the answer.
func (a *attempt) send(extra Send) (step, error) {
	req := a.request(extra)
	resp, err := a.call.entry.transport.RoundTrip(req)
	if err != nil {
		return a.sendFailed(err)
	}
	a.resp = resp
	a.reply = a.call.entry.cfg.Wire.Reply(resp)
	if err := a.checkHead(); err != nil {
		a.spoil()
		return stepLost, err
	}
	if a.reply.NotRun {
		return a.notRun()
	}
	return stepDone, nil
}

// sendFailed tells a request that cannot have reached the server from one that may have.
func (a *attempt) sendFailed(err error) (step, error) {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	now := time.Now()
	if a.conn == nil {
		if a.ctx.Err() == nil {
			a.choice.up.unreachable(now)
		}
		return stepNotRun, err
	}
	if a.conn.written.Load() == a.before {
		a.spoil()
		return stepNotRun, err
	}
	return stepLost, err
}

// notRun takes a server's word that it did not run the request.
func (a *attempt) notRun() (step, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.resp.Body, connBuffer))
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		a.choice.up.deny(time.Now())
	}
	return stepNotRun, &BrokenAnswerError{Reason: a.resp.Status + ", not run"}
}

// checkHead checks that the answer is one to this request.
func (a *attempt) checkHead() error {
	switch {
	case a.call.ask.ID != "" && a.reply.ID != "" && a.reply.ID != a.call.ask.ID:
		return &BrokenAnswerError{Reason: "it is one to another request"}
	case a.reply.NotRun:
		return nil
	case a.call.ask.ID != "" && a.reply.ID == "":
		return &BrokenAnswerError{Reason: "it does not name its request"}
	case a.resp.StatusCode/100 == 2 && !a.reply.Sealed:
		return &BrokenAnswerError{Reason: "it has no seal"}
	case a.resp.Header.Get("Content-Encoding") != "":
		return &BrokenAnswerError{Reason: "it is encoded"}
	case a.resp.StatusCode < 200:
		return &BrokenAnswerError{Reason: "status " + a.resp.Status}
	}
	return nil
}

// streams reports whether the answer is a series of events.
func (a *attempt) streams() bool {
	return a.resp.StatusCode == http.StatusOK && a.call.route.Kind == contract.KindStream &&
		strings.HasPrefix(a.resp.Header.Get("Content-Type"), contentEvents)
}

// whole reads the answer to its end before any of it is passed on.
func (a *attempt) whole() (*answer, step, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = &BrokenAnswerError{Reason: "it is too long"}
	}
	if err != nil {
		a.spoil()
		if cause := context.Cause(a.ctx); cause != nil {
			err = cause
		}
		return nil, stepLost, err
	}
	got := &answer{status: a.resp.StatusCode, header: a.resp.Header, body: body}
	if got.status >= http.StatusInternalServerError {
		return got, stepFailed, &BrokenAnswerError{Reason: a.resp.Status}
	}
	a.ticket.begun(time.Now())
	a.call.first = time.Since(a.call.started)
	got.deliver(a.call.w, a.call.entry.leaving.Load())
	a.call.outcome("answered", got.status, nil)
	return got, stepDone, nil
}
