package forward

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
)

const (
	// maxComplete bounds, in bytes, a response that is buffered and checked before it is relayed.
	maxComplete = 16 << 20
	// A repeatable request is hedged after a silence of silenceFactor times the predicted time to the first event
	// plus silenceSlack, at least minSilence.
	silenceFactor = 2
	silenceSlack  = 700 * time.Millisecond
	minSilence    = 900 * time.Millisecond
)

const eventStreamType = "text/event-stream"

// attempt is one send of a call's request to a server.
type attempt struct {
	call         *call
	choice       choice
	inFlight     *inFlightRequest
	ctx          context.Context
	cancel       context.CancelCauseFunc
	silenceTimer *time.Timer
	// versionTimer fires before the deadline of the server's version, if hasVersionBound; nil while there is no deadline. It is guarded by
	// call.mu.
	versionTimer    *time.Timer
	hasVersionBound bool
	// wasSilent is set once the server has exceeded its silence timeout; guarded by call.mu.
	wasSilent bool
	// awaitsData is set while the silence timeout applies.
	awaitsData atomic.Bool
	priority   int
	// primary is the attempt this one may take over from. lastEvent is the id of the last event the caller had when
	// this attempt was sent.
	primary   *attempt
	lastEvent string
	// newConn forces a new connection.
	newConn bool
	conn    *conn
	// connIdle is how long the connection had been idle; 0 for a new one.
	connIdle time.Duration
	// connDiscarded is set when the connection was closed before the request was written, so that it needs another one.
	connDiscarded bool
	writtenBefore int64
	resp          *http.Response
	reply         ResponseInfo
	// complete is a whole response. For a stream, events is the reader, nextEvent the first event the caller lacks,
	// and streamEnded is set when there is none.
	complete    *response
	held        *heldBytes
	events      *bufio.Reader
	nextEvent   []byte
	streamEnded bool
}

// exchange sends the request and returns once there is a complete response or, for a stream, the first event that the
// caller lacks.
func (a *attempt) exchange() (attemptResult, error) {
	extra := AttemptInfo{}
	a.lastEvent = a.call.info.LastEvent
	s := a.callerStream()
	if s != nil {
		a.lastEvent = s.startBuffering(a)
		extra = AttemptInfo{LastEvent: a.lastEvent, Version: s.version}
	}
	if current, live := a.state(); !live || current != s {
		// Another attempt has won meanwhile: nothing is sent, and no events are buffered.
		return resultNotRun, cmp.Or(context.Cause(a.ctx), context.Canceled)
	}
	if result, err := a.send(extra); err != nil {
		return result, err
	}
	switch {
	case a.isStream():
		return a.readFirstEvent()
	case s != nil:
		return resultLost, &InvalidResponseError{Reason: "resume refused: " + a.resp.Status}
	default:
		return a.readComplete()
	}
}

// callerStream returns the stream being relayed to the caller; nil before it has begun.
func (a *attempt) callerStream() *callerStream {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.call.stream
}

// silenceTimeout returns how long the server may stay silent, given its predicted time to the first event.
func (ch choice) silenceTimeout() time.Duration {
	return max(silenceFactor*ch.first+silenceSlack, minSilence)
}

// close releases the attempt's resources. Closing a partly read body also closes the connection.
func (a *attempt) close() {
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	a.call.mu.Lock()
	if a.versionTimer != nil {
		a.versionTimer.Stop()
	}
	a.call.mu.Unlock()
	a.inFlight.release()
	a.held.release()
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.cancel(nil)
	if a.conn != nil {
		a.conn.endRequest(a.reply.KeepAlive)
	}
}

// closeConn closes the connection, as further data on it can't be trusted.
func (a *attempt) closeConn() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// send sends the request and checks the response header.
func (a *attempt) send(extra AttemptInfo) (attemptResult, error) {
	if !a.staysHome() {
		return resultNotRun, &InvalidPlacementError{Server: a.choice.server.ID}
	}
	transport := a.call.entry.transport
	if a.newConn {
		transport = a.call.entry.oneShotTransport
	}
	resp, err := transport.RoundTrip(a.request(extra))
	for err != nil && a.connDiscarded {
		a.connDiscarded = false
		resp, err = transport.RoundTrip(a.request(extra))
	}
	if err != nil {
		return a.sendFailed(err)
	}
	a.resp = resp
	a.reply = a.call.entry.cfg.Wire.ParseResponse(resp)
	if err := a.checkHeader(); err != nil {
		a.closeConn()
		return resultLost, err
	}
	a.applyPushback()
	if a.reply.NotRun {
		return a.handleNotRun()
	}
	return resultDone, nil
}

// sendFailed returns resultNotRun for a request that can't have reached the server, resultLost for one that may have.
func (a *attempt) sendFailed(err error) (attemptResult, error) {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	now := clock.Now()
	if a.conn == nil {
		if a.ctx.Err() == nil {
			a.choice.upstream.recordUnreachable(now)
		}
		return resultNotRun, err
	}
	if a.conn.cutUnlessWritten(a.writtenBefore) {
		a.closeConn()
		return resultNotRun, err
	}
	return resultLost, err
}

// handleNotRun handles a response that says that the server did not run the request.
func (a *attempt) handleNotRun() (attemptResult, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.resp.Body, connBuffer))
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		a.choice.upstream.recordMisdirected(clock.Now())
	}
	return resultNotRun, &InvalidResponseError{Reason: a.resp.Status + ", not run"}
}

// checkHeader checks that the response belongs to this request.
func (a *attempt) checkHeader() error {
	switch {
	case a.call.info.ID != "" && a.reply.ID != "" && a.reply.ID != a.call.info.ID:
		return &InvalidResponseError{Reason: "request id does not match"}
	case a.reply.NotRun:
		return nil
	case a.call.info.ID != "" && a.reply.ID == "":
		return &InvalidResponseError{Reason: "request id is missing"}
	case a.resp.StatusCode/100 == 2 && !a.reply.Sealed:
		return &InvalidResponseError{Reason: "seal is missing"}
	case a.resp.Header.Get("Content-Encoding") != "":
		return &InvalidResponseError{Reason: "unexpected Content-Encoding"}
	}
	return nil
}

// isStream reports whether the response is an event stream.
func (a *attempt) isStream() bool {
	return a.resp.StatusCode == http.StatusOK && a.call.route.Kind == contract.KindStream &&
		strings.HasPrefix(a.resp.Header.Get("Content-Type"), eventStreamType)
}

// readComplete reads the whole response before any of it is relayed. A 5xx response is kept in case no other server
// answers.
func (a *attempt) readComplete() (attemptResult, error) {
	a.held = a.call.entry.responses.start()
	body, err := io.ReadAll(io.LimitReader(a.held.reader(&progressReader{a: a, r: a.resp.Body}), maxComplete+1))
	if err == nil && len(body) > maxComplete {
		err = &InvalidResponseError{Reason: "body is too long"}
	}
	if err == nil {
		err = a.verifyEnd()
	}
	if err != nil {
		return resultLost, a.abort(err)
	}
	a.stopSilenceTimer()
	a.complete = &response{status: a.resp.StatusCode, header: a.resp.Header, body: body}
	if a.complete.status >= http.StatusInternalServerError {
		return resultFailed, &InvalidResponseError{Reason: a.resp.Status}
	}
	a.inFlight.recordFirstEvent(clock.Now())
	return resultDone, nil
}

// progressReader restarts the silence timeout whenever data arrives, so that a long response isn't taken for a silent
// server.
type progressReader struct {
	a *attempt
	r io.Reader
}

// Read reads from the body and restarts the silence timeout.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.a.startSilenceTimer(p.a.responseTimeout())
	}
	return n, err
}

// readFirstEvent reads a stream up to the first event that the caller lacks, or to its end.
func (a *attempt) readFirstEvent() (attemptResult, error) {
	a.events = bufio.NewReaderSize(a.resp.Body, connBuffer)
	a.held = a.call.entry.responses.start()
	for {
		event, err := a.readEvent(a.nextEvent)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if err = a.verifyEnd(); err == nil {
				a.streamEnded = true
				return resultDone, nil
			}
		}
		if err != nil {
			return resultLost, a.abort(err)
		}
		if a.nextEvent = event; alreadySent(eventID(event), a.lastEvent) {
			continue
		}
		if version, changes := a.call.entry.cfg.Wire.EventVersion(event); changes && version != a.expectedVersion() {
			a.closeConn()
			return resultLost, &InvalidResponseError{Reason: "version changes within the stream"}
		}
		a.stopSilenceTimer()
		a.inFlight.recordFirstEvent(clock.Now())
		return resultDone, nil
	}
}

// expectedVersion returns the version that every event must have: the stream's, or else the server's.
func (a *attempt) expectedVersion() contract.Version {
	if s := a.callerStream(); s != nil {
		return s.version
	}
	return a.version()
}

// abort closes the connection of an incomplete response and returns the cause.
func (a *attempt) abort(err error) error {
	a.closeConn()
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	var invalid *InvalidResponseError
	if errors.As(err, &invalid) {
		return err
	}
	return &InvalidResponseError{Reason: err.Error()}
}
