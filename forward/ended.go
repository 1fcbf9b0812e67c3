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

// A request may end the server that runs it. All connections of the server break off then, and with them the other requests
// there, so that one end says little of which it was; the requests that were there are noted by what tells them when they come
// again. A connection alone that breaks off says nothing: links are reset too.

const (
	// endWait is how long a request waits for word whether its server has ended before it goes to another, which may end under it as
	// well: some round trips.
	endWait = 100 * time.Millisecond
	// endGather is how long after a server ended its broken connections are gathered for the log: they break within milliseconds.
	endGather = 20 * time.Millisecond
	// endLife is how long an end that was found counts for connections that break off later.
	endLife = time.Second
	// brokenLife is how long a broken connection waits for word that its server has ended.
	brokenLife = 3 * time.Second
)

// broken is a request whose connection ended while its server had it.
type broken struct {
	request quarantine.Fingerprint
	at      time.Time
}

// brokenOff reports whether an attempt ended without the entry's doing, or because its server started again.
func (a *attempt) brokenOff(result step, err error) bool {
	return result == stepLost && (a.ctx.Err() == nil || errors.As(err, new(*RestartedError)))
}

// noteBroken notes that a request's connection to a server has ended, and finds out whether the server has; it returns once that
// is known.
func (e *Entry) noteBroken(a *attempt, err error) {
	up, request, now := a.choice.up, a.call.fingerprint(), clock.Now()
	up.mu.Lock()
	up.broken = append(up.broken, broken{request: request, at: now})
	if errors.As(err, new(*RestartedError)) {
		up.endedAt = now
	}
	if up.checked == nil {
		up.checked = make(chan struct{})
		go e.checkEnded(up, up.checked)
	}
	checked := up.checked
	up.mu.Unlock()
	select {
	case <-checked:
	case <-time.After(endWait):
	}
}

// checkEnded finds out whether a server has ended, and tells which requests were there.
func (e *Entry) checkEnded(up *upstream, checked chan struct{}) {
	known := up.endedLately(clock.Now())
	ended := known || probe.Refuses(up.address())
	life, requests := up.takeBroken(ended, clock.Now())
	if ended && !known {
		up.unreachable(clock.Now())
	}
	if len(requests) > 0 {
		e.cfg.Quarantine.Ended(life, requests)
	}
	close(checked)
	if len(requests) > 0 && up.logsEnd(requests) {
		time.Sleep(endGather)
		e.logEnd(life, up.loggedEnd())
	}
}

// logEnd writes the line of a server that has ended.
func (e *Entry) logEnd(life string, requests []quarantine.Fingerprint) {
	serversEnded.Inc()
	names := make([]string, len(requests))
	for i, request := range requests {
		names[i] = request.String()
	}
	e.log.WithFields(log.Fields{"life": life, "requests": names}).Warn("forward: a server ended under requests")
}

// lifeName names a life of a server alike at all entries.
func lifeName(server string, born int64) string {
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

func (u *upstream) endedLately(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.endedAt.IsZero() && now.Sub(u.endedAt) < endLife
}

// takeBroken ends a check: with the requests whose connections broke off, each once, when the server has ended; else these wait
// for a while.
func (u *upstream) takeBroken(ended bool, now time.Time) (life string, requests []quarantine.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checked = nil
	u.broken = slices.DeleteFunc(u.broken, func(b broken) bool { return now.Sub(b.at) > brokenLife })
	if !ended {
		return "", nil
	}
	if u.endedAt.IsZero() || now.Sub(u.endedAt) >= endLife {
		u.endedAt = now
	}
	for _, b := range u.broken {
		if !slices.Contains(requests, b.request) {
			requests = append(requests, b.request)
		}
	}
	u.broken = nil
	return lifeName(u.server.ID, u.born), requests
}

// logsEnd adds requests to those of the line about the server's end; it reports whether they are the first, so that the line is
// to be written.
func (u *upstream) logsEnd(requests []quarantine.Fingerprint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := len(u.toLog) == 0
	u.toLog = append(u.toLog, requests...)
	return first
}

// loggedEnd returns the requests of the line about the server's end.
func (u *upstream) loggedEnd() []quarantine.Fingerprint {
	u.mu.Lock()
	defer u.mu.Unlock()
	requests := u.toLog
	u.toLog = nil
	return requests
}
