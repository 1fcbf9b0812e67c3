package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/problem"
)

// defaultWait is how long a caller that does not say is taken to wait.
const defaultWait = 30 * time.Second

// Outcomes as problems tell them.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// ServeHTTP takes one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := clock.Now()
	ask := e.cfg.Wire.Ask(r)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	cfg := e.cfg.View.Config()
	if cfg == nil || e.cfg.View.Outdated() {
		e.deny(w, r, ask, http.StatusServiceUnavailable, "no-configuration", "no configuration is known yet", loadRetryAfter)
		return
	}
	route := cfg.Route(r.Host, r.URL.Path)
	if route == nil {
		e.denyUnlessInDoubt(w, r, ask, http.StatusNotFound, "no-route", "no route leads there")
		return
	}
	defer e.conns.end(e.conns.begin(&running{id: ask.ID, route: route.Name, started: started}))
	team, known := teamOf(cfg, route, ask)
	if !known {
		e.denyUnlessInDoubt(w, r, ask, http.StatusUnauthorized, "no-team", "the key is not known")
		return
	}
	if limit := cfg.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		e.deny(w, r, ask, http.StatusRequestHeaderFieldsTooLarge, "long-header", "the header is too long", 0)
		return
	}
	body, ok := e.readBody(w, r, ask, cfg.Limits.BodyBytes)
	if !ok {
		return
	}
	c := &call{
		entry: e, w: w, r: r, ask: ask, route: route, team: team, body: body,
		started: started, ends: started.Add(wait(ask, route)), config: cfg.Revision, not: make(map[string]bool),
	}
	c.service = cfg.Service(route.Service(rand.Float64()))
	if c.service == nil {
		c.refuse(http.StatusServiceUnavailable, "no-service", "the route's service is not known", plainRetryAfter, nil)
		return
	}
	c.run(r.Context())
}

// teamOf returns the team of a request, nil where the route asks for no key; known is false when the key is not.
func teamOf(cfg *contract.Config, route *contract.Route, ask Ask) (team *contract.Team, known bool) {
	if !cfg.Keyed || route.Public {
		return nil, true
	}
	team = cfg.Team(ask.Key)
	return team, team != nil
}

// wait returns how long a request is held at most.
func wait(ask Ask, route *contract.Route) time.Duration {
	held := ask.Wait
	if held <= 0 {
		held = defaultWait
	}
	if route.TimeLimit > 0 {
		held = min(held, route.TimeLimit)
	}
	return held
}

// readBody reads the whole body, which may be sent more than once.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, ask Ask, limit int64) ([]byte, bool) {
	if r.ContentLength == 0 {
		return nil, true
	}
	if limit > 0 && r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		e.deny(w, r, ask, http.StatusRequestEntityTooLarge, "long-body", "the body is too long", 0)
		return nil, false
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		return body, true
	}
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		e.deny(w, r, ask, http.StatusRequestEntityTooLarge, "long-body", "the body is too long", 0)
		return nil, false
	}
	w.Header().Set("Connection", "close")
	e.deny(w, r, ask, http.StatusBadRequest, "torn-body", "the body did not come whole", 0)
	return nil, false
}

// denyUnlessInDoubt denies what the configuration in force does not allow; while a newer one may be in force that does, the
// caller is told to come back.
func (e *Entry) denyUnlessInDoubt(w http.ResponseWriter, r *http.Request, ask Ask, status int, slug, detail string) {
	if e.cfg.View.Doubtful() {
		e.deny(w, r, ask, http.StatusServiceUnavailable, "configuration-in-doubt", detail+" as far as is known; the store is away", loadRetryAfter)
		return
	}
	e.deny(w, r, ask, status, slug, detail, 0)
}

// deny answers a request that is not let in, and logs it.
func (e *Entry) deny(w http.ResponseWriter, r *http.Request, ask Ask, status int, slug, detail string, after time.Duration) {
	countOutcome("", slug)
	e.log.WithFields(log.Fields{
		"id": ask.ID, "host": r.Host, "path": r.URL.Path, "status": status, "outcome": slug,
	}).Info("request")
	e.refuse(w, ask.ID, status, slug, detail, after)
}

// refuse answers with a problem of the entry's own.
func (e *Entry) refuse(w http.ResponseWriter, id string, status int, slug, detail string, after time.Duration) {
	p := problem.New(status, slug, detail).WithRequestID(id)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		p = p.WithOutcome(outcomeNotRun)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		p = p.WithOutcome(outcomeUnknown)
	}
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	e.cfg.Wire.Refused(w.Header(), id, after)
	p.Write(w)
}

// headerBytes returns the length of a request's head without its first line's protocol.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
