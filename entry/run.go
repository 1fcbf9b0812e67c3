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
	// maxAttempts bounds the attempts of a request that may have run it.
	maxAttempts = 8
	// retryPriority is added to the priority of a request that was admitted before, to put it ahead of its team's new ones.
	retryPriority = 10
)

// attempt is one send of a request to a box, with the start of the response.
type attempt struct {
	box  string
	call *relay.Call
	// first is the first part of the body; err is io.EOF if it is the only one.
	first []byte
	err   error
}

// task is an admitted request with what it holds: its team's share, and a slot at one box at a time.
type task struct {
	entry *Entry
	// callerCtx ends when the caller disconnects; the request's deadline applies only until a stream starts.
	callerCtx  context.Context
	req        callerRequest
	controller *admit.Controller
	// tried holds the boxes that the request was sent to without success, and when that failed.
	tried    map[string]time.Time
	admitted bool
	box      string
	// mayHaveRun says that an attempt was lost, so that the outcome can no longer be "not-run".
	mayHaveRun bool
	// pinnedDigest, if set, is the digest of the version that must respond.
	pinnedDigest string
}

// run admits a request, delivers the response and finishes the request.
func (e *Entry) run(callerCtx context.Context, w http.ResponseWriter, req callerRequest) {
	ctx, cancel := context.WithDeadline(callerCtx, req.deadline)
	defer cancel()
	t := &task{entry: e, callerCtx: callerCtx, req: req, controller: e.controller(req.service.Name), tried: make(map[string]time.Time)}
	if t.quarantined() {
		e.finish(w, t, &quarantinedError{})
		return
	}
	if err := t.acquire(ctx); err != nil {
		e.refuse(w, t.refusal(err))
		return
	}
	defer t.finish()
	e.budget.Earn()
	if req.idempotencyKey != "" {
		e.runOnce(ctx, w, t)
		return
	}
	e.finish(w, t, t.finalError(e.deliver(ctx, w, t, nil)))
}

// finish counts the outcome of a request, and responds with a problem if nothing has been sent yet.
func (e *Entry) finish(w http.ResponseWriter, t *task, err error) {
	if err == nil {
		t.recordResponse()
		metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="ran"}`).Inc()
		return
	}
	var interrupted *interruptedError
	if errors.As(err, &interrupted) {
		metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="broken-off"}`).Inc()
		if interrupted.Abort {
			panic(http.ErrAbortHandler)
		}
		return
	}
	p := outcomeProblem(err, t.req.id)
	metrics.GetOrCreateCounter(`coralstair_requests_total{outcome="` + p.Outcome + `"}`).Inc()
	w.Header().Set(HeaderOutcome, p.Outcome)
	e.refuse(w, p)
}

// outcomeProblem returns the problem for a request without a response.
func outcomeProblem(err error, id string) problem.Problem {
	var notRunErr *relay.NotRunError
	var refused *admit.RefusedError
	var quarantined *quarantinedError
	switch {
	case errors.As(err, &refused):
		return refusedProblem(refused, id)
	case errors.As(err, &quarantined):
		return quarantinedProblem(quarantined, id)
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

// start sends the request to boxes until one starts to respond. An attempt that did not run the request costs nothing; after one that
// may have run it, only a repeatable request is sent again, within the retry budget.
func (t *task) start(ctx context.Context) (*attempt, error) {
	for lost := 0; ; {
		a, err := t.send(ctx)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		var notRunErr *relay.NotRunError
		if !errors.As(err, &notRunErr) {
			lost++
			if !t.req.repeatable || lost == maxAttempts || t.quarantined() || !t.entry.budget.Spend() {
				return nil, err
			}
		}
		if !t.nextBox(ctx, refusedAt(err)) {
			return nil, err
		}
	}
}

// send sends the request to the reserved box and waits for the first part of the response.
func (t *task) send(ctx context.Context) (*attempt, error) {
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
		Digest: t.pinnedDigest, Header: header, Body: t.req.body, Deadline: time.Until(t.req.deadline),
	}, t.req.repeatable)
	if err != nil {
		t.recordFailure(ctx, err)
		return nil, err
	}
	first, err := call.Next(ctx)
	if err != nil && !errors.Is(err, errEnd) {
		t.recordFailure(ctx, err)
		return nil, err
	}
	t.entry.health.Succeeded(t.box)
	return &attempt{box: t.box, call: call, first: first, err: err}, nil
}

// recordFailure records a lost attempt, and counts it against the box unless the request was cancelled or its deadline has passed. A
// request that did not run is no failure.
func (t *task) recordFailure(ctx context.Context, err error) {
	var notRunErr *relay.NotRunError
	if errors.As(err, &notRunErr) {
		return
	}
	t.mayHaveRun = true
	t.recordExit(err)
	if ctx.Err() == nil {
		t.entry.health.Failed(t.box, time.Now())
	}
}

// finalError returns the error of a request: if an earlier attempt may have run it, a later "not run" or refusal becomes "lost".
func (t *task) finalError(err error) error {
	var notRunErr *relay.NotRunError
	var refused *admit.RefusedError
	if t.mayHaveRun && (errors.As(err, &notRunErr) || errors.As(err, &refused)) {
		return &relay.LostError{Reason: "an earlier attempt may have run; last error: " + err.Error()}
	}
	return err
}

// acquire waits for admission and a slot at a box.
func (t *task) acquire(ctx context.Context) error {
	box, err := t.controller.Acquire(ctx, t.admitRequest())
	t.box = box
	t.admitted = err == nil
	return err
}

func (t *task) admitRequest() admit.Request {
	priority := t.req.priority
	if len(t.tried) > 0 {
		priority += retryPriority
	}
	return admit.Request{
		Team: t.req.team.Name, Weight: t.req.team.Weight, Priority: priority, Retried: len(t.tried) > 0,
		Deadline: t.req.deadline, Concurrency: t.req.team.Concurrency, Reserve: t.reserveBox,
	}
}

// finish releases all that the request holds.
func (t *task) finish() {
	t.release()
	t.releaseShare()
	t.controller.Dispatch()
}

// releaseShare releases the team's share.
func (t *task) releaseShare() {
	if t.admitted {
		t.admitted = false
		t.controller.Done(t.req.team.Name)
	}
}

// refusedAt returns when a box refused a request, now unless it said so.
func refusedAt(err error) time.Time {
	var notRunErr *relay.NotRunError
	if errors.As(err, &notRunErr) && !notRunErr.At.IsZero() {
		return notRunErr.At
	}
	return time.Now()
}

// nextBox moves the request, which its box refused or lost at a time, to another box. If none is available that is untried or updated
// since, the request waits for admission again.
func (t *task) nextBox(ctx context.Context, at time.Time) bool {
	t.tried[t.box] = at
	t.release()
	if box, ok := t.controller.Reserve(t.admitRequest()); ok {
		t.box = box
		return true
	}
	t.releaseShare()
	return t.acquire(ctx) == nil
}

func (t *task) reserveBox() (string, bool) {
	return t.entry.boxes.reserveBox(t.req.service, t.pinnedDigest, t.tried)
}

func (t *task) release() {
	if t.box != "" {
		t.entry.boxes.release(t.box)
		t.box = ""
	}
}

func (t *task) refusal(err error) problem.Problem {
	return outcomeProblem(err, t.req.id)
}
