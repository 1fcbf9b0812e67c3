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

// maxBuffered is the longest response, in bytes, that is buffered until it is complete; a longer one is streamed.
const maxBuffered = 1 << 20

var errEnd = io.EOF

// interruptedError reports that a response was interrupted after its start had been sent. Abort asks to signal that to the caller by
// closing the connection.
type interruptedError struct {
	Abort bool
	Err   error
}

// Error gives the cause.
func (e *interruptedError) Error() string { return fmt.Sprintf("response interrupted: %v", e.Err) }

// Unwrap returns the cause.
func (e *interruptedError) Unwrap() error { return e.Err }

// deliver sends the request to a box and the response to the caller; record, if set, receives a copy.
func (e *Entry) deliver(ctx context.Context, w http.ResponseWriter, t *task, record *claim.Response) error {
	for {
		a, err := t.start(ctx)
		if err != nil {
			return err
		}
		if isStream(a) {
			return e.stream(t.callerCtx, w, t, a, record)
		}
		body, complete, err := readWhole(ctx, a)
		if err != nil {
			t.recordFailure(ctx, err)
			if t.req.repeatable && ctx.Err() == nil && !t.quarantined() && e.budget.Spend() && t.nextBox(ctx, refusedAt(err)) {
				continue
			}
			return err
		}
		if !complete {
			return e.stream(t.callerCtx, w, t, a.withFirst(body), record)
		}
		e.checkVersion(a)
		a.recordTo(record, body)
		writeHead(w, a, t.req.id)
		if _, err := w.Write(body); err != nil {
			return &interruptedError{Err: err}
		}
		return nil
	}
}

// readWhole reads a response until it is complete or exceeds maxBuffered.
func readWhole(ctx context.Context, a *attempt) (body []byte, complete bool, err error) {
	body = a.first
	if a.err != nil {
		return body, true, nil
	}
	for len(body) < maxBuffered {
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

// checkVersion asserts that a complete response came from a single version.
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

// recordTo copies a complete response to be replayed for retries of the request.
func (a *attempt) recordTo(response *claim.Response, body []byte) {
	if response == nil {
		return
	}
	head := a.call.Head()
	response.Status, response.Header = head.Status, head.Header
	response.Box, response.Version = a.box, head.Version
	response.Truncated = len(body) > claim.MaxResponseBytes
	if !response.Truncated {
		response.Body = body
	}
}

// withFirst returns the attempt with the bytes read so far as its first part.
func (a *attempt) withFirst(body []byte) *attempt {
	next := *a
	next.first = body
	return &next
}
