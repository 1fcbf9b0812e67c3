package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/operate"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/statement"
	"github.com/coralstair/coralstair/weights"
)

const (
	maxStatementBytes = 64 << 10
	outageRetryAfter  = 5 * time.Second
	maxOperationID    = 36
)

// StatementRequest is the JSON body of a statement request.
type StatementRequest struct {
	Statement  string         `json:"statement"`
	Operation  string         `json:"operation,omitempty"`
	IfRevision fleet.Revision `json:"if_revision,omitempty"`
}

// serveStatement executes an operator's statement.
func (e *Entry) serveStatement(w http.ResponseWriter, r *http.Request) {
	key, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	var req StatementRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStatementBytes)).Decode(&req); err != nil {
		e.refuse(w, problem.New(http.StatusBadRequest, "bad-body", "the body is not a statement in JSON: "+err.Error()))
		return
	}
	if !connlimit.FromContext(r.Context()).Received() {
		panic(http.ErrAbortHandler)
	}
	if p, ok := authorize(key, req); !ok {
		e.refuse(w, p)
		return
	}
	if req.Operation == "" {
		req.Operation = uuid.NewString()
	}
	result, err := e.executor.Execute(r.Context(), operate.Command{
		Operator: key.Name, Operation: req.Operation, Text: req.Statement, IfRevision: req.IfRevision,
	})
	if err != nil {
		e.refuse(w, statementProblem(err))
		return
	}
	metrics.GetOrCreateCounter(`coralstair_statements_total{result="done"}`).Inc()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

// authenticate returns the key of a request; it refuses a request without a known key.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (keys.Key, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		w.Header().Set("WWW-Authenticate", "Bearer")
		e.refuse(w, problem.New(http.StatusUnauthorized, "no-key", "the request has no key").WithOutcome("not-run"))
		return keys.Key{}, false
	}
	key, ok := e.cfg.Keys.Find(secret)
	if !ok {
		e.refuse(w, problem.New(http.StatusUnauthorized, "unknown-key", "the key is not known").WithOutcome("not-run"))
	}
	return key, ok
}

// refuse responds with a problem and counts it.
func (e *Entry) refuse(w http.ResponseWriter, p problem.Problem) {
	metrics.GetOrCreateCounter(`coralstair_problems_total{type="` + p.Type + `"}`).Inc()
	p.Write(w)
}

// authorize checks that the key's role allows the statement.
func authorize(key keys.Key, req StatementRequest) (problem.Problem, bool) {
	if len(req.Operation) > maxOperationID {
		return problem.New(http.StatusBadRequest, "bad-operation", "an operation's id has at most 36 characters"), false
	}
	if key.Role == keys.RoleTeam {
		return problem.New(http.StatusForbidden, "role", "a team key cannot execute statements"), false
	}
	if key.Role == keys.RoleOperate {
		return problem.Problem{}, true
	}
	stmt, err := statement.Parse(req.Statement)
	if err == nil && stmt.Show == nil && !stmt.Explain {
		return problem.New(http.StatusForbidden, "role", "a key with role read can only show and explain"), false
	}
	return problem.Problem{}, true
}

// statementProblem returns the problem for a failed statement.
func statementProblem(err error) problem.Problem {
	var (
		syntax   *statement.SyntaxError
		conflict *ledger.ConflictError
		unknown  *ledger.UnknownError
		refused  *ledger.RefusedError
		rejected *operate.RejectedError
		missing  *operate.UnknownNameError
		column   *statement.ColumnError
		digest   *weights.DigestSyntaxError
	)
	switch {
	case errors.As(err, &syntax):
		return problem.New(http.StatusBadRequest, "syntax", err.Error()).WithPosition(syntax.Line, syntax.Column)
	case errors.As(err, &conflict):
		return problem.New(http.StatusConflict, "conflict", err.Error()).WithOutcome("not-run")
	case errors.As(err, &unknown):
		return problem.New(http.StatusGatewayTimeout, "unknown-outcome", err.Error()).WithOutcome("unknown").WithRetryAfter(outageRetryAfter)
	case errors.As(err, &refused):
		return problem.New(http.StatusServiceUnavailable, "platform-out", err.Error()).WithOutcome("not-run").WithRetryAfter(outageRetryAfter)
	case errors.As(err, &missing):
		return problem.New(http.StatusNotFound, "unknown-name", err.Error()).WithOutcome("not-run")
	case errors.As(err, &rejected), errors.As(err, &column), errors.As(err, &digest):
		return problem.New(http.StatusUnprocessableEntity, "rejected", err.Error()).WithOutcome("not-run")
	default:
		return problem.New(http.StatusInternalServerError, "internal", err.Error())
	}
}
