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

// settleTimeout bounds how long an answer waits until its claim is settled.
const settleTimeout = 2 * time.Second

// runOnce runs a request that must not be repeated: it is claimed first, and settled once it is known what became of it.
func (e *Entry) runOnce(ctx context.Context, w http.ResponseWriter, t *turn) {
	c := claim.Claim{
		Claimant: uuid.NewString(), BodyHash: t.req.hash(), Deadline: t.req.deadline.UTC(),
	}
	key := t.req.service.Name + "/" + t.req.onceKey
	if err := e.claims.Take(ctx, t.req.team.Name, key, c); err != nil {
		e.answerHeld(w, t.req, err)
		return
	}
	var answer claim.Answer
	recorder := &heldWriter{w: w}
	err := t.final(e.deliver(ctx, recorder, t, &answer))
	e.settle(t, key, c, answer, err)
	recorder.flush()
	e.finish(w, t, err)
}

// settle records what became of a claimed request.
func (e *Entry) settle(t *turn, key string, c claim.Claim, answer claim.Answer, err error) {
	status := claim.StatusUnknown
	var notRunErr *relay.NotRunError
	switch {
	case err == nil:
		status = claim.StatusDone
		c.Answer = &answer
	case errors.As(err, &notRunErr):
		status = claim.StatusNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := e.claims.Settle(ctx, t.req.team.Name, key, status, c); err != nil {
		e.log.WithError(err).WithField("request", t.req.id).Warn("entry: claim not settled")
	}
}

// answerHeld answers a request that could not be claimed.
func (e *Entry) answerHeld(w http.ResponseWriter, req callerRequest, err error) {
	var held *claim.HeldError
	var mismatch *claim.MismatchError
	switch {
	case errors.As(err, &mismatch):
		e.refuse(w, notRun(http.StatusUnprocessableEntity, "once-key-reused", err.Error(), req.id))
	case !errors.As(err, &held):
		e.refuse(w, notRun(http.StatusServiceUnavailable, "platform-out", err.Error(), req.id).WithRetryAfter(outageRetry))
	case held.Status == claim.StatusDone && held.Claim.Answer != nil && !held.Claim.Answer.Cut:
		replay(w, *held.Claim.Answer)
	case held.Status == claim.StatusDone:
		e.refuse(w, problem.New(http.StatusConflict, "ran-before", "the request ran; its answer was too long to be kept").
			WithOutcome("ran").WithRequestID(req.id))
	case held.Status == claim.StatusClaimed:
		e.refuse(w, problem.New(http.StatusConflict, "in-progress", "the first arrival of the request is in progress").
			WithOutcome("unknown").WithRequestID(req.id).WithRetryAfter(time.Second))
	default:
		e.refuse(w, problem.New(http.StatusConflict, "unknown-outcome", "whether the request ran is not known; it is not run again").
			WithOutcome("unknown").WithRequestID(req.id))
	}
}

// replay sends the first answer again.
func replay(w http.ResponseWriter, answer claim.Answer) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderOutcome, "ran")
	w.Header().Set(HeaderReplayed, "yes")
	w.Header().Set(HeaderBox, answer.Box)
	if answer.Version != "" {
		w.Header().Set(HeaderVersion, answer.Version)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// hash tells whether two arrivals are the same request.
func (r callerRequest) hash() string {
	sum := sha256.New()
	for _, part := range []string{r.method, r.path, string(r.body)} {
		size := sha256.Sum256([]byte(part))
		sum.Write(size[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// heldWriter holds a short answer back until its claim is settled, so that whoever has the answer finds it again.
// Once the answer is flushed as a stream it is no longer held.
type heldWriter struct {
	w      http.ResponseWriter
	status int
	body   []byte
	sent   bool
}

// Flush sends what is held and all that follows at once.
func (h *heldWriter) Flush() {
	h.flush()
	if f, ok := h.w.(http.Flusher); ok {
		f.Flush()
	}
}

// Header returns the answer's headers.
func (h *heldWriter) Header() http.Header { return h.w.Header() }

// Unwrap returns the writer beneath.
func (h *heldWriter) Unwrap() http.ResponseWriter { return h.w }

// Write holds or sends a part of the body.
func (h *heldWriter) Write(body []byte) (int, error) {
	if h.sent {
		return h.w.Write(body)
	}
	h.body = append(h.body, body...)
	return len(body), nil
}

// WriteHeader holds the status.
func (h *heldWriter) WriteHeader(status int) { h.status = status }

func (h *heldWriter) flush() {
	if h.sent || h.status == 0 {
		return
	}
	h.sent = true
	h.w.WriteHeader(h.status)
	_, _ = h.w.Write(h.body)
}
