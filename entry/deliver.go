package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/upstream"
)

// bufferLimit is the longest answer that is held until it is whole; a longer one is sent as it comes.
const bufferLimit = 1 << 20

var errEnd = io.EOF

// startedError says that an answer broke off after its beginning had been sent. With Abort the caller has still to
// be told, by breaking the connection.
type startedError struct {
	Abort bool
	Err   error
}

// Error gives the cause.
func (e *startedError) Error() string { return fmt.Sprintf("answer broken off: %v", e.Err) }

// Unwrap returns the cause.
func (e *startedError) Unwrap() error { return e.Err }

// deliver has the request run and sends its answer; record, when set, takes a copy of it.
func (e *Entry) deliver(ctx context.Context, w http.ResponseWriter, t *turn, record *claim.Answer) error {
	for {
		a, err := t.begin(ctx)
		if err != nil {
			return err
		}
		if isStream(a) {
			return e.stream(t.whole, w, t, a, record)
		}
		body, whole, err := gather(ctx, a)
		if err != nil {
			t.failed(ctx, err)
			if t.req.repeatable && ctx.Err() == nil && !t.held() && e.budget.Spend() && t.next(ctx) {
				continue
			}
			return err
		}
		if !whole {
			return e.stream(t.whole, w, t, a.withFirst(body), record)
		}
		e.checkVersion(a)
		a.record(record, body)
		writeHead(w, a, t.req.id)
		if _, err := w.Write(body); err != nil {
			return &startedError{Err: err}
		}
		return nil
	}
}

// gather reads an answer until it is whole or too long to be held.
func gather(ctx context.Context, a *attempt) (body []byte, whole bool, err error) {
	body = a.first
	if a.err != nil {
		return body, true, nil
	}
	for len(body) < bufferLimit {
		part, err := a.call.Next(ctx)
		if errors.Is(err, errEnd) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		body = append(body, part...)
	}
	return body, false, nil
}

// checkVersion asserts that a whole answer came from one version, from start to end.
func (e *Entry) checkVersion(a *attempt) {
	e.cfg.Checks.Check(a.call.Digest() == a.call.Head().Digest, invariant.OneVersion,
		"answer of box %s began with %s and ended with %s", a.box, a.call.Head().Digest, a.call.Digest())
}

func isStream(a *attempt) bool {
	return upstream.IsStream(http.Header(a.call.Head().Header))
}

func writeHead(w http.ResponseWriter, a *attempt, id string) {
	head := a.call.Head()
	for name, values := range head.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderOutcome, "ran")
	w.Header().Set(HeaderBox, a.box)
	if head.Version != "" {
		w.Header().Set(HeaderVersion, head.Version)
	}
	w.WriteHeader(head.Status)
}

// record copies a whole answer for later arrivals of the same request.
func (a *attempt) record(answer *claim.Answer, body []byte) {
	if answer == nil {
		return
	}
	head := a.call.Head()
	answer.Status, answer.Header = head.Status, head.Header
	answer.Box, answer.Version = a.box, head.Version
	answer.Cut = len(body) > claim.MaxAnswer
	if !answer.Cut {
		answer.Body = body
	}
}

// withFirst returns the attempt with what has been read so far as its first part.
func (a *attempt) withFirst(body []byte) *attempt {
	next := *a
	next.first = body
	return &next
}
