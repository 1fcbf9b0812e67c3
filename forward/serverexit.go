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

// lostRequest is a request whose connection broke while its server had it.
type lostRequest struct {
	request quarantine.Fingerprint
	at      time.Time
}

// connectionLost reports whether the connection broke or the server restarted, rather than the entry cancelling the
// attempt.
func (a *attempt) connectionLost(result attemptResult, err error) bool {
	return result == resultLost && (a.ctx.Err() == nil || errors.As(err, new(*RestartedError)))
}

// awaitExitCheck records a lost request and waits until it is known whether its server has exited, for exitCheckTimeout
// at most.
func (e *Entry) awaitExitCheck(a *attempt, err error) {
	up, request, now := a.choice.upstream, a.call.fingerprint(), clock.Now()
	up.mu.Lock()
	up.lostRequests = append(up.lostRequests, lostRequest{request: request, at: now})
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
	incarnation, requests := up.takeLostRequests(exited, clock.Now())
	if exited && !known {
		up.recordUnreachable(clock.Now())
	}
	if len(requests) > 0 {
		e.cfg.Quarantine.RecordExit(incarnation, requests)
	}
	close(checked)
	if len(requests) > 0 && up.queueExitLog(requests) {
		time.Sleep(exitLogDelay)
		e.logExit(incarnation, up.takeExitLog())
	}
}

func (e *Entry) logExit(incarnation string, requests []quarantine.Fingerprint) {
	serversEnded.Inc()
	names := make([]string, len(requests))
	for i, request := range requests {
		names[i] = request.String()
	}
	e.log.WithFields(log.Fields{"life": incarnation, "requests": names}).Warn("forward: a server ended under requests")
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

// takeLostRequests ends an exit check. If the server has exited it returns each lost request once; otherwise they are
// kept until they expire.
func (u *upstream) takeLostRequests(exited bool, now time.Time) (incarnation string, requests []quarantine.Fingerprint) {
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
	for _, lost := range u.lostRequests {
		if !slices.Contains(requests, lost.request) {
			requests = append(requests, lost.request)
		}
	}
	u.lostRequests = nil
	return incarnationName(u.server.ID, u.born), requests
}

// queueExitLog adds requests to the log line of an exit and reports whether the caller has to write it.
func (u *upstream) queueExitLog(requests []quarantine.Fingerprint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := len(u.exitLogRequests) == 0
	u.exitLogRequests = append(u.exitLogRequests, requests...)
	return first
}

// takeExitLog returns the requests of the log line of an exit and clears them.
func (u *upstream) takeExitLog() []quarantine.Fingerprint {
	u.mu.Lock()
	defer u.mu.Unlock()
	requests := u.exitLogRequests
	u.exitLogRequests = nil
	return requests
}
