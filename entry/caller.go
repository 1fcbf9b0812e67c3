package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/tracing"
	"github.com/coralstair/coralstair/upstream"
)

// Headers that callers send and read.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "X-Coralstair-Outcome"
	HeaderBox            = "X-Coralstair-Box"
	HeaderVersion        = "X-Coralstair-Version"
	HeaderReplayed       = "X-Coralstair-Replayed"
)

// HeaderResume is the number of events of a stream that the caller already has; the engine resumes after them.
const HeaderResume = "X-Resume-Events"

const (
	maxRequestID      = 128
	maxIdempotencyKey = 255
	maxTimeout        = 30 * time.Minute
	leavingRetryAfter = time.Second
	memoryRetryAfter  = time.Second
)

// callerRequest is a caller's request after authentication and validation.
type callerRequest struct {
	id       string
	team     fleet.Team
	service  fleet.Service
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
	priority int
	// idempotencyKey, if set, marks a request that runs at most once and is claimed under this key.
	idempotencyKey string
	// repeatable says that the request may be sent again if it is unknown whether it ran.
	repeatable bool
}

// chatRouting is the part of a chat completion request that routing needs.
type chatRouting struct {
	Model string `json:"model"`
}

// serveChat handles a chat completion request for a model service.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	req, ok := e.readRequest(w, r)
	if !ok {
		return
	}
	var routing chatRouting
	if err := json.Unmarshal(req.body, &routing); err != nil || routing.Model == "" {
		e.refuse(w, notRun(http.StatusBadRequest, "bad-body", "the body is not JSON with a model name", req.id))
		return
	}
	req.path = "/v1/chat/completions"
	req.repeatable = true
	e.serveService(w, r, req, routing.Model, fleet.KindModel)
}

// servePlain handles a request for a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	req, ok := e.readRequest(w, r)
	if !ok {
		return
	}
	req.path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	req.repeatable = r.Method == http.MethodGet || r.Method == http.MethodHead
	e.serveService(w, r, req, r.PathValue("service"), fleet.KindPlain)
}

// serveService finds the service and runs the request there.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, req callerRequest, name string, kind fleet.Kind) {
	cfg := e.follower.Config()
	if cfg.Revision == 0 {
		e.refuse(w, notRun(http.StatusServiceUnavailable, "no-configuration", "no configuration is known yet", req.id).WithRetryAfter(leavingRetryAfter))
		return
	}
	service, ok := serviceOf(cfg, name, kind)
	if !ok {
		e.refuse(w, notRun(http.StatusNotFound, "unknown-service", "there is no such service: "+name, req.id))
		return
	}
	req.service = service
	req.team = withName(cfg.Teams[req.team.Name], req.team.Name)
	req.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if service.Once || req.idempotencyKey != "" {
		req.repeatable = false
	}
	e.active.Add(1)
	defer e.active.Done()
	if e.leaving.Load() {
		e.refuse(w, notRun(http.StatusServiceUnavailable, "leaving", "this entry is leaving", req.id).WithRetryAfter(leavingRetryAfter))
		return
	}
	ctx, span := tracing.Start(tracing.Extract(r.Context(), r.Header), "entry",
		attribute.String("service", name), attribute.String("request", req.id))
	defer span.End()
	e.run(ctx, w, req)
}

// readRequest reads and validates what all requests have in common; it refuses an invalid request.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (callerRequest, bool) {
	req := callerRequest{method: r.Method, id: r.Header.Get(HeaderRequestID)}
	if req.id == "" || len(req.id) > maxRequestID {
		req.id = uuid.NewString()
	}
	w.Header().Set(HeaderRequestID, req.id)
	key, ok := e.authenticate(w, r)
	if !ok {
		return req, false
	}
	if key.Role != keys.RoleTeam {
		e.refuse(w, notRun(http.StatusForbidden, "role", "an operator key cannot send requests", req.id))
		return req, false
	}
	req.team.Name = key.Name
	if p, ok := e.readLimits(r, &req); !ok {
		e.refuse(w, p)
		return req, false
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(req.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.cfg.BodyLimit))
	if err != nil {
		e.refuse(w, bodyProblem(err, req.id))
		return req, false
	}
	_ = control.SetReadDeadline(time.Time{})
	if !connlimit.FromContext(r.Context()).Received() {
		panic(http.ErrAbortHandler)
	}
	req.body = body
	req.header = upstream.EndToEndHeader(r.Header)
	req.header.Set(HeaderRequestID, req.id)
	req.header.Del(HeaderResume)
	return req, true
}

// bodyProblem returns the answer to a request whose body cannot be read.
func bodyProblem(err error, id string) problem.Problem {
	var closed *connlimit.ClosedError
	switch {
	case errors.As(err, &closed):
		return notRun(http.StatusServiceUnavailable, "no-memory", "the entry holds too many requests", id).WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(http.StatusRequestTimeout, "late-body", "the body did not come in time", id)
	default:
		return notRun(http.StatusRequestEntityTooLarge, "body", "the body cannot be read: "+err.Error(), id)
	}
}

// readLimits reads the deadline, the priority and the idempotency key of a request.
func (e *Entry) readLimits(r *http.Request, req *callerRequest) (problem.Problem, bool) {
	timeout := e.cfg.Deadline
	if text := r.Header.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxTimeout {
			return notRun(http.StatusBadRequest, "bad-timeout", HeaderTimeout+" is a duration such as 1.5s, 30m at most", req.id), false
		}
		timeout = d
	}
	req.deadline = time.Now().Add(timeout)
	if text := r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > 9 {
			return notRun(http.StatusBadRequest, "bad-priority", HeaderPriority+" is a number from 0 to 9", req.id), false
		}
		req.priority = n
	}
	if len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKey {
		return notRun(http.StatusBadRequest, "bad-once-key", HeaderIdempotencyKey+" is too long", req.id), false
	}
	return problem.Problem{}, true
}

func notRun(status int, slug, detail, id string) problem.Problem {
	return problem.New(status, slug, detail).WithOutcome("not-run").WithRequestID(id)
}

func withName(team fleet.Team, name string) fleet.Team {
	team.Name = name
	return team
}
