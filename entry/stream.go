package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/relay"
)

const (
	// writeTimeout is how long a caller may take to read a part of an answer.
	writeTimeout = time.Minute
	// resumeTimeout is how long a broken-off stream waits for another box.
	resumeTimeout = 3 * time.Second
	// maxEvent is the longest event of a stream that is held until it is whole.
	maxEvent = 1 << 20

	eventEnd = "\n\n"
)

// streamer sends one answer as it comes.
type streamer struct {
	entry *Entry
	w     http.ResponseWriter
	turn  *turn
	// from is the attempt that the answer comes from now.
	from *attempt
	// kept is a copy of the answer for its claim, as long as it is not too long; nil keeps none.
	kept *bytes.Buffer
	// held is the beginning of an event that is not whole yet, sent the events that the caller has.
	held []byte
	sent int
}

// stream sends an answer as it comes. One that breaks off goes on at another box of the same version if its engine
// can; else it ends in an explicit error: an event in an event stream, a broken connection otherwise; never silently
// short.
func (e *Entry) stream(ctx context.Context, w http.ResponseWriter, t *turn, a *attempt, record *claim.Answer) error {
	writeHead(w, a, t.req.id)
	s := &streamer{entry: e, w: w, turn: t, from: a}
	if !s.resumable() {
		a.call.Keep()
	}
	if record != nil {
		s.kept = new(bytes.Buffer)
	}
	err := s.run(ctx)
	var started *startedError
	switch {
	case errors.Is(err, errEnd):
		e.checkVersion(s.from)
		if record != nil {
			s.from.record(record, s.kept.Bytes())
		}
		return nil
	case errors.As(err, &started):
		return err
	default:
		return &startedError{Abort: !tellBroken(w, s.from, err, t.req.id), Err: err}
	}
}

// run sends part after part; io.EOF says that the answer is whole.
func (s *streamer) run(ctx context.Context) error {
	part, err := s.from.first, s.from.err
	for {
		if writeErr := s.write(part, errors.Is(err, errEnd)); writeErr != nil {
			s.from.call.Cancel()
			return &startedError{Err: writeErr}
		}
		if errors.Is(err, errEnd) {
			return err
		}
		if err != nil {
			if err := s.resume(ctx, err); err != nil {
				return err
			}
			part, err = s.from.first, s.from.err
			continue
		}
		part, err = s.from.call.Next(ctx)
	}
}

// write sends a part: of an event stream only whole events, so that it can go on from there elsewhere.
func (s *streamer) write(part []byte, last bool) error {
	out := part
	if isStream(s.from) {
		s.held = append(s.held, part...)
		whole := bytes.LastIndex(s.held, []byte(eventEnd)) + len(eventEnd)
		if whole < len(eventEnd) {
			whole = 0
		}
		if last || len(s.held) > maxEvent {
			whole = len(s.held)
		}
		out = s.held[:whole:whole]
		s.held = s.held[whole:]
		s.sent += bytes.Count(out, []byte(eventEnd))
	}
	if len(out) == 0 {
		return nil
	}
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	if s.kept != nil && s.kept.Len() <= claim.MaxAnswer {
		s.kept.Write(out)
	}
	return control.Flush()
}

// resume goes on with a broken-off stream at another box that serves the same version; without one it returns why the
// stream broke off.
func (s *streamer) resume(ctx context.Context, cause error) error {
	var lost *relay.LostError
	t, digest := s.turn, s.from.call.Head().Digest
	t.failed(ctx, cause)
	if !errors.As(cause, &lost) || ctx.Err() != nil || !s.resumable() || t.held() || !s.entry.budget.Spend() {
		return cause
	}
	t.pin = digest
	t.req.deadline = time.Now().Add(resumeTimeout)
	t.req.header.Set(HeaderResume, strconv.Itoa(s.sent))
	if !t.next(ctx) {
		return cause
	}
	a, err := t.begin(ctx)
	if err != nil {
		return errors.Join(cause, err)
	}
	if got := a.call.Head().Digest; !s.entry.cfg.Checks.Check(got == digest, invariant.OneVersion, "stream of %s went on with %s", digest, got) {
		return cause
	}
	metrics.GetOrCreateCounter(`coralstair_streams_resumed_total`).Inc()
	s.from, s.held = a, nil
	return nil
}

// resumable reports whether the answer could go on at another box of the same version.
func (s *streamer) resumable() bool {
	return s.turn.req.repeatable && isStream(s.from) && s.from.call.Head().Digest != "" && s.entry.boxes.resumes(s.turn.box)
}

// tellBroken tells the caller of an event stream that the rest will not come, and reports whether it could.
func tellBroken(w http.ResponseWriter, a *attempt, err error, id string) bool {
	if !isStream(a) {
		return false
	}
	p := problem.New(http.StatusBadGateway, "broken-off", err.Error()).WithOutcome("unknown").WithRequestID(id)
	data, jsonErr := json.Marshal(p)
	if jsonErr != nil {
		return false
	}
	_, writeErr := fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", data)
	return writeErr == nil
}
