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

// Problem is an error response to a caller or an operator.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is not-run or unknown, or empty if there was no request to run.
	Outcome   string `json:"outcome,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Line and Column are the position of a syntax error in a statement.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem with a status; slug is the last part of its type URN.
func New(status int, slug, detail string) Problem {
	return Problem{
		Type: "urn:coralstair:problem:" + slug, Title: http.StatusText(status),
		Status: status, Detail: detail,
	}
}

// Error returns the title and the detail.
func (p Problem) Error() string { return p.Title + ": " + p.Detail }

// WithOutcome returns a copy with the request's outcome.
func (p Problem) WithOutcome(outcome string) Problem {
	p.Outcome = outcome
	return p
}

// WithPosition returns a copy with a position in a statement.
func (p Problem) WithPosition(line, column int) Problem {
	p.Line, p.Column = line, column
	return p
}

// WithRequestID returns a copy with the request's ID.
func (p Problem) WithRequestID(id string) Problem {
	p.RequestID = id
	return p
}

// WithRetryAfter returns a copy with a retry delay.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.RetryAfter = d
	return p
}

// Write writes the problem as the complete response.
func (p Problem) Write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
