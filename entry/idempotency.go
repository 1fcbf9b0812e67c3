package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/relay"
)

// settleTimeout bounds how long a response waits for its claim to be settled.
const settleTimeout = 2 * time.Second

// runOnce runs a request at most once: it is claimed first, and the claim is settled with the outcome.
func (e *Entry) runOnce(ctx context.Context, w http.ResponseWriter, t *task) {
	c := claim.Claim{
		Claimant: uuid.NewString(), BodyHash: t.req.hash(), Deadline: t.req.deadline.UTC(),
	}
	key := t.req.service.Name + "/" + t.req.idempotencyKey
	if err := e.claims.Acquire(ctx, t.req.team.Name, key, c); err != nil {
		e.answerClaimed(w, t.req, err)
		return
	}
	var response claim.Response
	recorder := &bufferedWriter{w: w}
	err := t.finalError(e.deliver(ctx, recorder, t, &response))
	e.settle(t, key, c, response, err)
	recorder.flush()
	e.finish(w, t, err)
}

// settle records the outcome of a claimed request.
func (e *Entry) settle(t *task, key string, c claim.Claim, response claim.Response, err error) {
	status := claim.StatusUnknown
	var notRunErr *relay.NotRunError
	switch {
	case err == nil:
		status = claim.StatusDone
		c.Response = &response
	case errors.As(err, &notRunErr):
		status = claim.StatusNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := e.claims.Settle(ctx, t.req.team.Name, key, status, c); err != nil {
		e.log.WithError(err).WithField("request", t.req.id).Warn("entry: claim not settled")
	}
}

// answerClaimed responds to a request that could not be claimed.
func (e *Entry) answerClaimed(w http.ResponseWriter, req callerRequest, err error) {
	var claimed *claim.ClaimedError
	var mismatch *claim.MismatchError
	switch {
	case errors.As(err, &mismatch):
		e.refuse(w, notRun(http.StatusUnprocessableEntity, "once-key-reused", err.Error(), req.id))
	case !errors.As(err, &claimed):
		e.refuse(w, notRun(http.StatusServiceUnavailable, "platform-out", err.Error(), req.id).WithRetryAfter(outageRetryAfter))
	case claimed.Status == claim.StatusDone && claimed.Claim.Response != nil && !claimed.Claim.Response.Truncated:
		replay(w, *claimed.Claim.Response)
	case claimed.Status == claim.StatusDone:
		e.refuse(w, problem.New(http.StatusConflict, "ran-before", "the request ran; its response was too long to store").
			WithOutcome("ran").WithRequestID(req.id))
	case claimed.Status == claim.StatusClaimed:
		e.refuse(w, problem.New(http.StatusConflict, "in-progress", "the first request with this key is still in progress").
			WithOutcome("unknown").WithRequestID(req.id).WithRetryAfter(time.Second))
	default:
		e.refuse(w, problem.New(http.StatusConflict, "unknown-outcome", "it is unknown whether the request ran; it is not run again").
			WithOutcome("unknown").WithRequestID(req.id))
	}
}

// replay sends the stored response.
func replay(w http.ResponseWriter, response claim.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderOutcome, "ran")
	w.Header().Set(HeaderReplayed, "yes")
	w.Header().Set(HeaderBox, response.Box)
	if response.Version != "" {
		w.Header().Set(HeaderVersion, response.Version)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// hash identifies the content of the request.
func (r callerRequest) hash() string {
	sum := sha256.New()
	for _, part := range []string{r.method, r.path, string(r.body)} {
		digest := sha256.Sum256([]byte(part))
		sum.Write(digest[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// bufferedWriter buffers a short response until its claim is settled, so that a caller that has the response can get it again.
// A response that is flushed as a stream is no longer buffered.
type bufferedWriter struct {
	w      http.ResponseWriter
	status int
	body   []byte
	sent   bool
}

// Flush sends the buffer and turns buffering off.
func (b *bufferedWriter) Flush() {
	b.flush()
	if f, ok := b.w.(http.Flusher); ok {
		f.Flush()
	}
}

// Header returns the response's header.
func (b *bufferedWriter) Header() http.Header { return b.w.Header() }

// Unwrap returns the underlying writer.
func (b *bufferedWriter) Unwrap() http.ResponseWriter { return b.w }

// Write buffers or sends a part of the body.
func (b *bufferedWriter) Write(body []byte) (int, error) {
	if b.sent {
		return b.w.Write(body)
	}
	b.body = append(b.body, body...)
	return len(body), nil
}

// WriteHeader buffers the status.
func (b *bufferedWriter) WriteHeader(status int) { b.status = status }

func (b *bufferedWriter) flush() {
	if b.sent || b.status == 0 {
		return
	}
	b.sent = true
	b.w.WriteHeader(b.status)
	_, _ = b.w.Write(b.body)
}
