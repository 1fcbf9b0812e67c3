package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/problem"
)

const (
	// defaultTimeout is the time limit of a caller that sends none, maxTimeout the longest one that a caller gets.
	defaultTimeout = 30 * time.Second
	maxTimeout     = 30 * time.Minute
)

// Values of the outcome member of problem responses.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// ServeHTTP handles one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := clock.Now()
	info := e.cfg.Wire.ParseRequest(r)
	limitWrites(w, 0)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	cfg := e.cfg.View.Config()
	if cfg == nil || e.cfg.View.Outdated() {
		e.deny(w, r, info, http.StatusServiceUnavailable, "no-configuration", "no configuration is known yet", loadingRetryAfter)
		return
	}
	route := cfg.Route(r.Host, r.URL.Path)
	if route == nil {
		e.denyOrRetryLater(w, r, info, http.StatusNotFound, "no-route", "no route leads there")
		return
	}
	defer e.conns.removeRequest(e.conns.addRequest(&activeRequest{id: info.ID, route: route.Name, started: started}))
	team, known := teamOf(cfg, route, info)
	if !known {
		e.denyOrRetryLater(w, r, info, http.StatusUnauthorized, "no-team", "the key is not known")
		return
	}
	homes := contract.HomesOf(route, team)
	if homes.Empty() {
		// Without Retry-After: coming back helps only under another configuration.
		e.deny(w, r, info, http.StatusServiceUnavailable, "no-home", "the homes of the route and of the team have no region in common", 0)
		return
	}
	if limit := cfg.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		e.deny(w, r, info, http.StatusRequestHeaderFieldsTooLarge, "long-header", "the header is too long", 0)
		return
	}
	limit := timeLimit(info, route)
	limitWrites(w, limit)
	body, ok := e.readBody(w, r, info, started.Add(limit), cfg.Limits.BodyBytes)
	if !ok {
		return
	}
	if !connlimit.FromContext(r.Context()).Received() {
		// Returning would let net/http complete the response as an empty success.
		panic(http.ErrAbortHandler)
	}
	c := &call{
		entry: e, w: w, r: r, info: info, route: route, team: team, homes: homes, body: body,
		started: started, deadline: started.Add(limit), config: cfg.Revision, excluded: make(map[string]bool),
	}
	c.service = cfg.Service(route.Service(rand.Float64()))
	if c.service == nil {
		c.refuse(http.StatusServiceUnavailable, "no-service", "the route's service is not known", plainRetryAfter, nil)
		return
	}
	c.setRank(cfg)
	c.run(r.Context())
}

// teamOf returns the team of a request, nil if the route needs no key; known is false if the key is unknown.
func teamOf(cfg *contract.Config, route *contract.Route, info RequestInfo) (team *contract.Team, known bool) {
	if !cfg.Keyed || route.Public {
		return nil, true
	}
	team = cfg.Team(info.Key)
	return team, team != nil
}

// callerTimeout returns how long the caller waits.
func callerTimeout(info RequestInfo) time.Duration {
	if info.Timeout <= 0 {
		return defaultTimeout
	}
	return min(info.Timeout, maxTimeout)
}

// timeLimit returns the time limit of a request: that of the caller, capped by that of the route.
func timeLimit(info RequestInfo, route *contract.Route) time.Duration {
	limit := callerTimeout(info)
	if route.TimeLimit > 0 {
		limit = min(limit, route.TimeLimit)
	}
	return limit
}

// readBody reads the whole body, which several attempts may send, until a deadline. On failure it answers the request and returns false.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, info RequestInfo, deadline time.Time, limit int64) ([]byte, bool) {
	if r.ContentLength == 0 {
		return nil, true
	}
	if limit > 0 && r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		e.deny(w, r, info, http.StatusRequestEntityTooLarge, "long-body", "the body is too long", 0)
		return nil, false
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(reader)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		e.deny(w, r, info, http.StatusRequestEntityTooLarge, "long-body", "the body is too long", 0)
		return nil, false
	}
	w.Header().Set("Connection", "close")
	var closed *connlimit.ClosedError
	switch {
	case errors.As(err, &closed):
		heldRefused.Inc()
		e.deny(w, r, info, http.StatusServiceUnavailable, "no-memory", "the entry holds too many requests", loadingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.deny(w, r, info, http.StatusRequestTimeout, "late-body", "the body did not come in time", 0)
	default:
		e.deny(w, r, info, http.StatusBadRequest, "torn-body", "the body did not come whole", 0)
	}
	return nil, false
}

// denyOrRetryLater denies a request. While a newer configuration that allows it may be in force, the caller is told to retry instead.
func (e *Entry) denyOrRetryLater(w http.ResponseWriter, r *http.Request, info RequestInfo, status int, slug, detail string) {
	if e.cfg.View.MayBeStale() {
		e.deny(w, r, info, http.StatusServiceUnavailable, "configuration-in-doubt", detail+" as far as is known; the store is away", loadingRetryAfter)
		return
	}
	e.deny(w, r, info, status, slug, detail, 0)
}

// deny answers a request that is not admitted, and logs it.
func (e *Entry) deny(w http.ResponseWriter, r *http.Request, info RequestInfo, status int, slug, detail string, after time.Duration) {
	countOutcome("", slug)
	e.log.WithFields(log.Fields{
		"id": info.ID, "host": r.Host, "path": r.URL.Path, "status": status, "outcome": slug,
	}).Info("request")
	e.refuse(w, info.ID, status, slug, detail, after)
}

// refuse writes a problem response of the entry itself.
func (e *Entry) refuse(w http.ResponseWriter, id string, status int, slug, detail string, after time.Duration) {
	p := problem.New(status, slug, detail).WithRequestID(id)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		p = p.WithOutcome(outcomeNotRun)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		p = p.WithOutcome(outcomeUnknown)
	}
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	e.cfg.Wire.SetRefusalHeaders(w.Header(), id, after)
	p.Write(w)
}

// headerBytes returns the size of a request's head without the protocol version.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
