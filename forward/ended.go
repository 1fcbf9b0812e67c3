package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/quarantine"
)

// A request may end the server that runs it. All connections of the server break off then, and with them the other requests
// there, so that one end says little of which it was; the requests that were there are noted by what tells them when they come
// again. A connection alone that breaks off says nothing: links are reset too.

const (
	// endCheckTime is how long it may take to find out whether a server has ended: a dead port refuses at once.
	endCheckTime = 400 * time.Millisecond
	// endGather is how long after a server ended its broken connections are gathered: they break within milliseconds.
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

// fingerprint tells the request when it comes again.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.printOnce.Do(func() {
		caller := c.teamName()
		if caller == "" {
			caller = c.ask.Key
		}
		c.print = quarantine.FingerprintOf(caller, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	})
	return c.print
}

// noteBroken notes that a request's connection to a server has ended, and finds out whether the server has.
func (e *Entry) noteBroken(a *attempt, err error) {
	up, request, now := a.choice.up, a.call.fingerprint(), time.Now()
	ended := errors.As(err, new(*RestartedError))
	up.mu.Lock()
	defer up.mu.Unlock()
	up.broken = append(up.broken, broken{request: request, at: now})
	if ended {
		up.endedAt = now
	}
	if !up.checking {
		up.checking = true
		go e.checkEnded(up)
	}
}

// checkEnded finds out whether a server has ended, and notes the requests that were there.
func (e *Entry) checkEnded(up *upstream) {
	ended := up.endedLately(time.Now()) || refuses(up.address())
	if ended {
		time.Sleep(endGather)
	}
	server, born, requests := up.takeBroken(ended, time.Now())
	if len(requests) == 0 {
		return
	}
	serversEnded.Inc()
	names := make([]string, len(requests))
	for i, request := range requests {
		names[i] = request.String()
	}
	e.log.WithFields(log.Fields{"server": server, "born": born, "requests": names}).Warn("forward: a server ended under requests")
}

// refuses reports whether nothing listens at an address.
func refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTime)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
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
func (u *upstream) takeBroken(ended bool, now time.Time) (server string, born int64, requests []quarantine.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checking = false
	u.broken = slices.DeleteFunc(u.broken, func(b broken) bool { return now.Sub(b.at) > brokenLife })
	if !ended {
		return "", 0, nil
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
	return u.server.ID, u.born, requests
}
