package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/coralstair/coralstair/admit"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/relay"
	"github.com/coralstair/coralstair/tracing"
)

const (
	// maxTurns is how often a request may be handed to boxes that may have run it.
	maxTurns = 8
	// againPriority puts a request that had its turn already before all of its team that had none.
	againPriority = 10
)

// attempt is a request at one box, with the answer's head.
type attempt struct {
	box  string
	call *relay.Call
	// first is the first part of the body; err is io.EOF when that was all.
	first []byte
	err   error
}

// turn is a request's hold on the room that it takes: its team's share, and a place at one box at a time.
type turn struct {
	entry *Entry
	// whole lasts as long as the caller waits; the request's deadline is for the beginning of a stream.
	whole      context.Context
	req        callerRequest
	controller *admit.Controller
	// tried are the boxes that the request was handed to in vain, and when.
	tried    map[string]time.Time
	admitted bool
	box      string
	// mayHaveRun says that an attempt was lost: from then on the request can no longer be said not to have run.
	mayHaveRun bool
	// pin, when set, is the digest of the version that the answer must come from.
	pin string
}

// run admits a request and sees it through to its final answer.
func (e *Entry) run(whole context.Context, w http.ResponseWriter, req callerRequest) {
	ctx, cancel := context.WithDeadline(whole, req.deadline)
	defer cancel()
	t := &turn{entry: e, whole: whole, req: req, controller: e.controller(req.service.Name), tried: make(map[string]time.Time)}
	if t.held() {
		e.finish(w, t, &heldError{})
		return
	}
	if err := t.acquire(ctx); err != nil {
		e.refuse(w, t.refusal(err))
		return
	}
	defer t.end()
	e.budget.Earn()
	if req.onceKey != "" {
		e.runOnce(ctx, w, t)
		return
	}
	e.finish(w, t, t.final(e.deliver(ctx, w, t, nil)))
}

// finish answers a request that got no answer so far.
func (e *Entry) finish(w http.ResponseWriter, t *turn, err error) {
	if err == nil {
		t.noteAnswered()
		metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="ran"}`).Inc()
		return
	}
	var started *startedError
	if errors.As(err, &started) {
		metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="broken-off"}`).Inc()
		if started.Abort {
			panic(http.ErrAbortHandler)
		}
		return
	}
	p := outcomeProblem(err, t.req.id)
	metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="` + p.Outcome + `"}`).Inc()
	w.Header().Set(HeaderOutcome, p.Outcome)
	e.refuse(w, p)
}

// outcomeProblem tells a caller what became of a request without an answer.
func outcomeProblem(err error, id string) problem.Problem {
	var notRunErr *relay.NotRunError
	var refused *admit.RefusedError
	var held *heldError
	switch {
	case errors.As(err, &refused):
		return refusedProblem(refused, id)
	case errors.As(err, &held):
		return heldProblem(held, id)
	case errors.As(err, &notRunErr):
		return notRun(http.StatusServiceUnavailable, "no-box", notRunErr.Reason, id).WithRetryAfter(time.Second)
	default:
		return problem.New(http.StatusBadGateway, "lost", err.Error()).WithOutcome("unknown").WithRequestID(id)
	}
}

func refusedProblem(refused *admit.RefusedError, id string) problem.Problem {
	status, slug := http.StatusTooManyRequests, "team-limit"
	if refused.Overload {
		status, slug = http.StatusServiceUnavailable, "overload"
	}
	return notRun(status, slug, refused.Reason, id).WithRetryAfter(refused.RetryAfter)
}

// begin hands the request to boxes until one begins to answer. A box that certainly did not run it is followed by
// another, and uses up nothing; when it may have run, only a repeatable request is tried again, within the retry budget.
func (t *turn) begin(ctx context.Context) (*attempt, error) {
	for lost := 0; ; {
		a, err := t.try(ctx)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		var notRunErr *relay.NotRunError
		if !errors.As(err, &notRunErr) {
			lost++
			if !t.req.repeatable || lost == maxTurns || t.held() || !t.entry.budget.Spend() {
				return nil, err
			}
		}
		if !t.next(ctx) {
			return nil, err
		}
	}
}

// try hands the request to the box that is held and waits for the first part of the answer.
func (t *turn) try(ctx context.Context) (*attempt, error) {
	if !t.entry.cfg.Checks.Check(t.req.repeatable || !t.mayHaveRun, invariant.AtMostOnce,
		"request %s would be handed on after an attempt that may have run", t.req.id) {
		return nil, &relay.LostError{Reason: "an earlier attempt may have run"}
	}
	l, ok := t.entry.boxes.link(t.box)
	if !ok {
		return nil, &relay.NotRunError{Reason: "the link to the box has ended"}
	}
	ctx, span := tracing.Start(ctx, "link", attribute.String("box", t.box))
	defer span.End()
	header := t.req.header.Clone()
	tracing.Inject(ctx, header)
	call, err := l.client.Do(ctx, link.Request{
		Service: t.req.service.Name, Method: t.req.method, Path: t.req.path,
		Digest: t.pin, Header: header, Body: t.req.body, Deadline: time.Until(t.req.deadline),
	}, t.req.repeatable)
	if err != nil {
		t.failed(ctx, err)
		return nil, err
	}
	first, err := call.Next(ctx)
	if err != nil && !errors.Is(err, errEnd) {
		t.failed(ctx, err)
		return nil, err
	}
	t.entry.health.Succeeded(t.box)
	return &attempt{box: t.box, call: call, first: first, err: err}, nil
}

// failed notes a lost attempt, and counts it against the box unless the caller has gone. That a box had no room is no
// failure.
func (t *turn) failed(ctx context.Context, err error) {
	var notRunErr *relay.NotRunError
	if errors.As(err, &notRunErr) {
		return
	}
	t.mayHaveRun = true
	t.noteEnd(err)
	if ctx.Err() == nil {
		t.entry.health.Failed(t.box, time.Now())
	}
}

// final returns what a request ended with: when an earlier attempt may have run, a later one that did not run does not
// make it "not run".
func (t *turn) final(err error) error {
	var notRunErr *relay.NotRunError
	var refused *admit.RefusedError
	if t.mayHaveRun && (errors.As(err, &notRunErr) || errors.As(err, &refused)) {
		return &relay.LostError{Reason: "an earlier attempt may have run; the last: " + err.Error()}
	}
	return err
}

// acquire waits for the request's turn.
func (t *turn) acquire(ctx context.Context) error {
	box, err := t.controller.Acquire(ctx, t.admission())
	t.box = box
	t.admitted = err == nil
	return err
}

func (t *turn) admission() admit.Request {
	priority := t.req.priority
	if len(t.tried) > 0 {
		priority += againPriority
	}
	return admit.Request{
		Team: t.req.team.Name, Weight: t.req.team.Weight, Priority: priority, Again: len(t.tried) > 0,
		Deadline: t.req.deadline, Concurrency: t.req.team.Concurrency, Place: t.place,
	}
}

// end gives back all that the request holds.
func (t *turn) end() {
	t.release()
	t.leave()
	t.controller.Kick()
}

// leave gives the team's share back.
func (t *turn) leave() {
	if t.admitted {
		t.admitted = false
		t.controller.Done(t.req.team.Name)
	}
}

// next moves the request to another box; it waits its turn again when none has room that was not tried, or told news since.
func (t *turn) next(ctx context.Context) bool {
	t.tried[t.box] = time.Now()
	t.release()
	if box, ok := t.controller.Again(t.admission()); ok {
		t.box = box
		return true
	}
	t.leave()
	return t.acquire(ctx) == nil
}

func (t *turn) place() (string, bool) {
	return t.entry.boxes.place(t.req.service, t.pin, t.tried)
}

func (t *turn) release() {
	if t.box != "" {
		t.entry.boxes.release(t.box)
		t.box = ""
	}
}

func (t *turn) refusal(err error) problem.Problem {
	return outcomeProblem(err, t.req.id)
}
