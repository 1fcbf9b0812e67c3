package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem is one error as a caller reads it.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says what became of the request: not-run or unknown; empty where nothing was to run.
	Outcome string `json:"outcome,omitempty"`
	// RequestID is the request that it is about.
	RequestID string `json:"request_id,omitempty"`
	// Line and Column are where a statement is not understood.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// RetryAfter is when to come back; it is sent as a header in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem of a kind; slug names the kind in its type.
func New(status int, slug, detail string) Problem {
	return Problem{
		Type: "urn:coralstair:problem:" + slug, Title: http.StatusText(status),
		Status: status, Detail: detail,
	}
}

// Error gives the detail.
func (p Problem) Error() string { return p.Title + ": " + p.Detail }

// WithOutcome returns the problem with what became of the request.
func (p Problem) WithOutcome(outcome string) Problem {
	p.Outcome = outcome
	return p
}

// WithPlace returns the problem with a place in a statement.
func (p Problem) WithPlace(line, column int) Problem {
	p.Line, p.Column = line, column
	return p
}

// WithRequestID returns the problem with the request that it is about.
func (p Problem) WithRequestID(id string) Problem {
	p.RequestID = id
	return p
}

// WithRetryAfter returns the problem with the time after which to come back.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.RetryAfter = d
	return p
}

// Write sends the problem as the whole answer.
func (p Problem) Write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
