package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/quarantine"
)

const (
	// responseMargin is how long before the caller's deadline a server has to respond.
	responseMargin = 20 * time.Millisecond
	// notRunRetries is how many servers beyond the route's attempts are tried while every server refuses to run the
	// request.
	notRunRetries = 1
	// maxRefusals bounds refusals of a request that another server runs or may have run: each one draws on the retry
	// budget.
	maxRefusals = 4
	// searchIntervalDivisor makes the pause between searches for a server grow with the duration of the search: many requests may
	// search at once.
	searchIntervalDivisor = 8
	// topPriority is the priority that servers admit first.
	topPriority = 0
)

// call is one caller's request.
type call struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	route   *contract.Route
	service *contract.Service
	team    *contract.Team
	// homes are the regions that may serve the request, by the configuration that was in force when it came.
	homes contract.Homes
	body  []byte

	ctx      context.Context
	cancel   context.CancelFunc
	started  time.Time
	deadline time.Time
	config   contract.Revision
	// rank is the request's rank among those for its service, 0 the most urgent; ranked is set where ranks differ.
	rank   int
	ranked bool
	// serviceGoal is the tightest goal of all routes to the service; 0 if none has one.
	serviceGoal time.Duration
	// standing is how the request stands among those that wait at a server, as of the latest choice of one; guarded by mu.
	standing admission.Standing
	// share is the team's share when admission was decided last; nil before, for requests without a team, and where ranks don't differ.
	share *admission.TeamShare
	// sinceFirst is the time since the caller's first try as far as the entry knows; 0 on a first try.
	sinceFirst time.Duration

	// mu guards the fields below: attempts run in goroutines of their own, next to the call's.
	mu sync.Mutex
	// winner is the attempt whose server has begun to respond. pending are those without a response yet, failures
	// those that failed and that the call's goroutine has not handled yet.
	winner   *attempt
	pending  []*attempt
	failures []failure
	done     bool
	// wake signals the call's goroutine that one of these has changed.
	wake chan struct{}
	// stream is being relayed to the caller; nil before it has begun.
	stream *callerStream
	// urgent requests were already in progress at another server: servers admit them before others.
	urgent bool

	// useNewConns is set after a silent server: all open connections may be dead while new ones work, so later
	// attempts open new ones.
	// Of 64 requests cut while open connections were silent 47 had met two such connections.
	useNewConns bool

	// sends counts servers that may have run the request, refusalCount those that said that they did not.
	sends        int
	refusalCount int
	// waited is set once the request has left a server at which it had only waited.
	waited bool
	// excluded are servers that are not tried again; refusedAt is when those of them that did not run the request
	// refused it.
	excluded  map[string]bool
	refusedAt map[string]time.Time
	// mayHaveRun is set once an attempt was lost without a response.
	mayHaveRun      bool
	lastChoice      choice
	firstEventAfter time.Duration
	attemptLog      []string
	// budgetRefused is set once the retry budget has refused a retry.
	budgetRefused bool

	// fp and partFPs, those of its prompt's parts, are computed on first use. connLost is set once a connection broke during the request,
	// answerConfirmed once its answer has been recorded in the quarantine.
	fp              quarantine.Fingerprint
	fpOnce          sync.Once
	partFPs         []quarantine.Fingerprint
	partFPsOnce     sync.Once
	connLost        bool
	answerConfirmed bool
	// trial is set if the request is sent once although it is quarantined.
	trial bool
}

// failure is how an attempt without a usable response ended.
type failure struct {
	response *response
	result   attemptResult
	err      error
}

// attemptResult is how one attempt ended.
type attemptResult int

const (
	// resultDone means that the server sent a usable response: a complete one, or a stream up to the next event or its end.
	resultDone attemptResult = iota
	// resultNotRun means that the server did not run the request.
	resultNotRun
	// resultLost means that the request may have run, without a response.
	resultLost
	// resultFailed means that the server ran the request and responded with a 5xx status, which is kept.
	resultFailed
)

// run sends the request until it is answered or no further attempt is allowed.
func (c *call) run(ctx context.Context) {
	ctx, c.cancel = context.WithTimeout(ctx, clock.Until(c.deadline))
	defer c.cancel()
	defer c.finish()
	c.ctx, c.wake, c.refusedAt = ctx, make(chan struct{}, 1), make(map[string]time.Time)
	c.entry.budget.CountRequest(c.service.Name, c.started)
	if c.quarantined() && !c.tryQuarantined() {
		c.giveUp(ctx, nil, &QuarantinedError{})
		return
	}
	c.entry.calls.add(c)
	defer c.entry.calls.remove(c)
	c.entry.admission.Of(c.pool()).Record(c.admissionRequest(), c.started)
	c.sinceFirst = c.sinceFirstTry()
	var kept *response
	var err error
	for {
		if err := c.sendNextWithRetries(ctx); err != nil {
			c.giveUp(ctx, kept, err)
			return
		}
		var winner *attempt
		var failures []failure
		for winner == nil && c.inProgress() {
			winner, failures = c.waitResult()
			for _, f := range failures {
				err = f.err
				c.mayHaveRun = c.mayHaveRun || f.result == resultLost
				if f.response != nil {
					kept = f.response
				}
			}
		}
		if winner != nil {
			c.respond(ctx, winner)
			return
		}
		if ctx.Err() != nil || !c.mayRetry() {
			c.giveUp(ctx, kept, cmp.Or(err, ctx.Err()))
			return
		}
	}
}

// sendNextWithRetries sends the request to the next server. A repeatable request that may have run keeps looking for a
// server while there is time to serve it, since its caller would otherwise get an unknown outcome.
func (c *call) sendNextWithRetries(ctx context.Context) error {
	for began := clock.Now(); ; {
		err := c.sendNext()
		if err == nil || !c.mayFindServer(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(max(retryInterval, clock.Since(began)/searchIntervalDivisor)):
		}
		c.mu.Lock()
		c.readmit(clock.Now())
		c.mu.Unlock()
	}
}

// mayFindServer reports whether another search for a server may succeed in time after one that failed with err.
func (c *call) mayFindServer(err error) bool {
	if !errors.As(err, new(*NoServerError)) && !errors.Is(err, errRetryBudget) {
		return false
	}
	return c.mayHaveRun && c.route.Repeatable() && !c.noServerBy(c.latestStart())
}

// latestStart returns when a server must get the request at the latest for its answer to be complete in time.
func (c *call) latestStart() time.Time {
	end := c.deadline
	if closes := c.entry.closesIdleAt.Load(); closes != nil && closes.Before(end) {
		end = *closes
	}
	return end.Add(-c.serviceTime())
}

// serviceTime returns how long an idle server takes for the request.
func (c *call) serviceTime() time.Duration {
	e := c.service.Engine
	if e == nil || e.ReadRate <= 0 {
		return responseMargin
	}
	return engine.TimeToFirstEvent(e, engine.Load{}, c.info.PromptTokens) + engine.DecodeTime(e, engine.Load{}, c.info.answerTokens())
}

// noServerBy reports whether until has passed, or no server is known to accept a request before it.
func (c *call) noServerBy(until time.Time) bool {
	now := clock.Now()
	c.mu.Lock()
	excluded := make(map[string]bool, len(c.excluded))
	for id := range c.excluded {
		excluded[id] = c.refusedAt[id].IsZero()
	}
	c.mu.Unlock()
	return now.Add(c.entry.availableIn(c.service.Name, c.homes, excluded, now)).After(until)
}

// sendNext sends the request to the next server.
func (c *call) sendNext() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sends == 0 && !c.finishesBeforeLeave(clock.Now()) {
		return errLeaving
	}
	if c.quarantined() && (!c.trial || c.sends > 0) {
		return &QuarantinedError{}
	}
	for budgeted := c.sends+c.refusalCount == 0; ; budgeted = true {
		ch, err := c.chooseNext()
		if err != nil {
			return err
		}
		if !budgeted && !c.takeRetry(!c.mayHaveRun) {
			return errRetryBudget
		}
		if c.start(ch) != nil {
			return nil
		}
	}
}

// respond relays the response of the winning attempt.
func (c *call) respond(ctx context.Context, a *attempt) {
	if a.isStream() {
		c.relayStream(ctx, a)
		return
	}
	defer a.close()
	c.firstEventAfter = clock.Since(c.started)
	a.complete.writeTo(c.w, c.entry.leaving.Load())
	c.recordResult(a, resultDone, nil)
	c.outcome("answered", a.complete.status, nil)
}

// mayRetry reports whether another server may be tried when no attempt is in progress. A server that did not run the
// request does not count as an attempt.
func (c *call) mayRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sends == 0 {
		return c.refusalCount < c.route.Attempts+notRunRetries
	}
	return c.mayHedge()
}

// mayHedge reports whether a request that may have run may go to one more server; mu is held.
func (c *call) mayHedge() bool {
	attempts := c.route.Attempts
	if c.waited {
		attempts++
	}
	return c.route.Repeatable() && c.sends < attempts && c.refusalCount < maxRefusals && !c.quarantined()
}

// chooseNext chooses the next server; mu is held.
func (c *call) chooseNext() (choice, error) {
	ch, ok := c.entry.choose(c.requirements(), clock.Now())
	if !ok && !c.entry.anySite(c.service.Name, c.homes) {
		return choice{}, errNoSite
	}
	if !ok {
		return choice{}, &NoServerError{Service: c.service.Name, Reason: "none accepts the request now"}
	}
	if c.sends+c.refusalCount == 0 && !c.admitted(ch) {
		return choice{}, &BusyError{Service: c.service.Name, Wait: ch.first, Decoding: ch.load.Decoding, Prefilling: ch.load.Prefilling}
	}
	return ch, nil
}

// requirements returns what a server must satisfy to take the request; mu is held.
func (c *call) requirements() requirements {
	var policy *admission.Policy
	if c.ranked {
		policy = c.entry.admission.Of(c.pool())
		c.standing = policy.Standing(c.admissionRequest())
	}
	return requirements{
		service: c.service, model: c.model(), promptTokens: c.info.PromptTokens, answerTokens: c.info.answerTokens(), excluded: c.excluded,
		homes: c.homes, standing: c.standing, policy: policy,
		urgent: c.urgent, movable: c.route.Repeatable() && c.sends+1 < c.route.Attempts,
	}
}

// admitted reports whether admission control accepts the request, judged by the queue at the best server. The
// request's own length is left out, so that long requests are not refused more often.
func (c *call) admitted(ch choice) bool {
	if c.service.Engine == nil || c.route.Goal <= 0 {
		return true
	}
	own := engine.TimeToFirstEvent(c.service.Engine, ch.ahead, c.info.PromptTokens) - engine.TimeToFirstEvent(c.service.Engine, ch.ahead, 1)
	admitted := c.admitShared(ch.first - own)
	admissions(c.rank, admitted).Inc()
	return admitted
}

// admissionRequest describes the request to admission control.
func (c *call) admissionRequest() admission.Request {
	req := admission.Request{Route: c.route.Name, Goal: c.route.Goal}
	if c.ranked {
		req.Rank, req.NoWait = c.rank, engine.NoWait(c.service.Engine)
		req.SlotWait, req.ServiceGoal = engine.SlotWait(c.service.Engine), c.serviceGoal
	}
	return req
}

// model returns the requested model, or else the service's only one.
func (c *call) model() string {
	if c.info.Model != "" {
		return c.info.Model
	}
	if c.service.Engine == nil {
		return ""
	}
	model, _ := c.service.Engine.Model()
	return model.Name
}

var (
	errRetryBudget = errors.New("retry budget is exhausted")
	errLeaving     = errors.New("entry is leaving")
	errNoSite      = errors.New("no site may serve the request")
)

// giveUp responds when no further attempt is allowed: with the server's 5xx response, or with an error of the entry's
// own that says whether the request may have run.
func (c *call) giveUp(ctx context.Context, kept *response, err error) {
	switch {
	case c.r.Context().Err() != nil:
		c.outcome("caller-gone", 0, err)
		panic(http.ErrAbortHandler)
	case kept != nil:
		kept.writeTo(c.w, c.entry.leaving.Load())
		c.outcome("failed-at-server", kept.status, err)
	case c.mayHaveRun && ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, "out-of-time", "deadline exceeded; the request may have run", 0, err)
	case c.mayHaveRun:
		c.refuse(http.StatusBadGateway, "unknown", "no complete response; the request may have run", 0, err)
	case errors.As(err, new(*QuarantinedError)):
		c.refuse(http.StatusServiceUnavailable, "held", "servers exited while running this request, or prompts that share a part with it; it is sent to no more of them", c.quarantineRetryAfter(), err)
	case errors.Is(err, errNoSite):
		c.refuse(http.StatusServiceUnavailable, "no-site", "all sites that may serve the request are being evacuated", evacuatedRetryAfter, err)
	case errors.Is(err, errLeaving):
		c.refuse(http.StatusServiceUnavailable, "leaving", "the entry is leaving and could not respond in time", leaveRetryAfter, err)
	default:
		c.refuse(http.StatusServiceUnavailable, "not-run", "no server accepted the request", c.retryAfter(), err)
	}
}

// retryAfter returns the value for Retry-After.
func (c *call) retryAfter() time.Duration {
	return c.entry.retryAfter(c.service, c.route, c.homes, clock.Now())
}

// setRank sets the request's rank by a configuration. Ranks order requests for model servers only.
func (c *call) setRank(cfg *contract.Config) {
	c.rank, c.ranked = cfg.Rank(c.service.Name, c.route, c.team), c.service.Engine != nil && cfg.Ranked(c.service.Name)
	c.standing.Rank, c.serviceGoal = c.rank, cfg.TightestGoal(c.service.Name)
}

// priority returns what servers order waiting requests by: topPriority for urgent requests, then the rank where ranks differ, else the
// team's priority or the route's.
func (c *call) priority() int {
	if c.urgent {
		return topPriority
	}
	if c.ranked {
		return topPriority + 1 + c.standing.Rank
	}
	if c.team != nil && c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}

func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}
