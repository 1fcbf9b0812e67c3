package forward

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/probe"
	"github.com/coralstair/coralstair/quarantine"
)

// A request may crash the server that runs it, which breaks all connections of the server. The requests in flight are recorded, so
// that the one that crashes servers is recognised when it is retried. A single broken connection proves nothing: networks reset
// connections too.

const (
	// exitCheckTimeout is how long a request waits for the exit check before it is sent to another server, which it
	// might crash too.
	exitCheckTimeout = 100 * time.Millisecond
	// exitLogDelay is how long the requests lost by an exit are collected for its log line.
	exitLogDelay = 20 * time.Millisecond
	// exitTTL is how long a detected exit explains further broken connections of the server.
	exitTTL = time.Second
	// lostRequestTTL is how long a lost request is kept in case its server turns out to have exited.
	lostRequestTTL = 3 * time.Second
)

// lostRequest is a request whose connection broke while its server had it. parts are the IDs of its prompt parts if the server had at most
// begun to respond.
type lostRequest struct {
	request quarantine.Fingerprint
	parts   []string
	sent    time.Time
	at      time.Time
}

// exitSuspects are the requests that may have caused an exit, and those of them to whose prompts the server had at most begun to respond,
// with the parts that may be the cause.
type exitSuspects struct {
	requests []quarantine.Fingerprint
	prompts  []lostRequest
}

// connectionLost reports whether the connection broke or the server restarted, rather than the entry cancelling the
// attempt.
func (a *attempt) connectionLost(result attemptResult, err error) bool {
	return result == resultLost && (a.ctx.Err() == nil || errors.As(err, new(*RestartedError)))
}

// awaitExitCheck records a lost request and waits until it is known whether its server has exited, for exitCheckTimeout
// at most.
func (e *Entry) awaitExitCheck(a *attempt, err error) {
	up, now := a.choice.upstream, clock.Now()
	lost := lostRequest{request: a.call.fingerprint(), sent: a.inFlight.sent, at: now}
	if a.inFlight.answering(now) < answerConfirmed {
		lost.parts = a.call.promptParts()
	}
	up.mu.Lock()
	up.lostRequests = append(up.lostRequests, lost)
	if errors.As(err, new(*RestartedError)) {
		up.exitedAt = now
	}
	if up.exitChecked == nil {
		up.exitChecked = make(chan struct{})
		go e.checkExit(up, up.exitChecked)
	}
	checked := up.exitChecked
	up.mu.Unlock()
	select {
	case <-checked:
	case <-time.After(exitCheckTimeout):
	}
}

// checkExit determines whether a server has exited, and records the requests lost with it.
func (e *Entry) checkExit(up *upstream, checked chan struct{}) {
	known := up.exitedRecently(clock.Now())
	exited := known || probe.Refuses(up.address())
	incarnation, lost := up.takeLostRequests(exited, clock.Now())
	if exited && !known {
		up.recordUnreachable(clock.Now())
	}
	if len(lost) == 0 {
		close(checked)
		return
	}
	suspects := e.suspectsOf(lost)
	e.cfg.Quarantine.RecordExit(incarnation, suspects.requests, promptRecords(suspects.prompts)...)
	close(checked)
	if up.queueExitLog(suspects) {
		time.Sleep(exitLogDelay)
		e.logExit(incarnation, up.takeExitLog())
	}
}

// suspectsOf returns what may have caused an exit that lost some requests.
func (e *Entry) suspectsOf(lost []lostRequest) exitSuspects {
	var s exitSuspects
	survived := e.survivedParts(clock.Now())
	for _, one := range lost {
		if !slices.Contains(s.requests, one.request) {
			s.requests = append(s.requests, one.request)
		}
		one.parts = slices.DeleteFunc(slices.Clone(one.parts), func(part string) bool { return survived[part] })
		if len(one.parts) > 0 {
			s.prompts = append(s.prompts, one)
		}
	}
	return s
}

// promptRecords returns the prompts of lost requests for the quarantine.
func promptRecords(lost []lostRequest) []quarantine.Prompt {
	prompts := make([]quarantine.Prompt, len(lost))
	for i, one := range lost {
		prompts[i] = quarantine.Prompt{Parts: partFingerprints(one.parts), Sent: time.Now().Add(-clock.Since(one.sent)).UnixMilli()}
	}
	return prompts
}

func (e *Entry) logExit(incarnation string, suspects exitSuspects) {
	serversEnded.Inc()
	names := make([]string, len(suspects.requests))
	for i, request := range suspects.requests {
		names[i] = request.String()
	}
	parts := make(map[string]string)
	for _, prompt := range suspects.prompts {
		for _, part := range prompt.parts {
			parts[part] = quarantine.PartFingerprint(part).String()
		}
	}
	e.log.WithFields(log.Fields{"life": incarnation, "requests": names, "parts": parts}).Warn("forward: a server ended under requests")
}

// incarnationName returns the name of a server's incarnation, which all entries derive alike.
func incarnationName(server string, born int64) string {
	if born == 0 {
		return server
	}
	return server + "@" + strconv.FormatInt(born, 10)
}

func (u *upstream) address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server.Address
}

func (u *upstream) exitedRecently(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.exitedAt.IsZero() && now.Sub(u.exitedAt) < exitTTL
}

// takeLostRequests ends an exit check. If the server has exited it returns the lost requests; otherwise they are kept until
// they expire.
func (u *upstream) takeLostRequests(exited bool, now time.Time) (incarnation string, lost []lostRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.exitChecked = nil
	u.lostRequests = slices.DeleteFunc(u.lostRequests, func(lost lostRequest) bool { return now.Sub(lost.at) > lostRequestTTL })
	if !exited {
		return "", nil
	}
	if u.exitedAt.IsZero() || now.Sub(u.exitedAt) >= exitTTL {
		u.exitedAt = now
	}
	lost = u.lostRequests
	u.lostRequests = nil
	return incarnationName(u.server.ID, u.born), lost
}

// queueExitLog adds requests to the log line of an exit and reports whether the caller has to write it.
func (u *upstream) queueExitLog(suspects exitSuspects) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := len(u.exitLog.requests) == 0
	u.exitLog.requests = append(u.exitLog.requests, suspects.requests...)
	u.exitLog.prompts = append(u.exitLog.prompts, suspects.prompts...)
	return first
}

// takeExitLog returns the requests of the log line of an exit and clears them.
func (u *upstream) takeExitLog() exitSuspects {
	u.mu.Lock()
	defer u.mu.Unlock()
	suspects := u.exitLog
	u.exitLog = exitSuspects{}
	return suspects
}
