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
	// writeTimeout is how long a caller may take to read a part of a response.
	writeTimeout = time.Minute
	// resumeTimeout is how long an interrupted stream waits for another box.
	resumeTimeout = 3 * time.Second
	// maxEventBytes is the longest event that is buffered until it is complete.
	maxEventBytes = 1 << 20

	eventSeparator = "\n\n"
)

// streamer copies a response to the caller as it arrives.
type streamer struct {
	entry *Entry
	w     http.ResponseWriter
	task  *task
	// current is the attempt that the response comes from.
	current *attempt
	// recorded is a copy of the response for its claim, up to the longest that is stored; nil if there is no claim.
	recorded *bytes.Buffer
	// partial is the start of an incomplete event, eventsSent the number of events sent to the caller.
	partial    []byte
	eventsSent int
}

// stream copies a response to the caller as it arrives. An interrupted event stream resumes at another box of the same version if its
// engine can; otherwise it ends with an error event, and any other response by closing the connection. None is truncated silently.
func (e *Entry) stream(ctx context.Context, w http.ResponseWriter, t *task, a *attempt, record *claim.Response) error {
	writeHead(w, a, t.req.id)
	s := &streamer{entry: e, w: w, task: t, current: a}
	if !s.resumable() {
		a.call.Pin()
	}
	if record != nil {
		s.recorded = new(bytes.Buffer)
	}
	err := s.run(ctx)
	var interrupted *interruptedError
	switch {
	case errors.Is(err, errEnd):
		e.checkVersion(s.current)
		if record != nil {
			s.current.recordTo(record, s.recorded.Bytes())
		}
		return nil
	case errors.As(err, &interrupted):
		return err
	default:
		return &interruptedError{Abort: !writeErrorEvent(w, s.current, err, t.req.id), Err: err}
	}
}

// run sends part after part and resumes after an interruption; io.EOF means that the response is complete.
func (s *streamer) run(ctx context.Context) error {
	part, err := s.current.first, s.current.err
	for {
		if writeErr := s.write(part, errors.Is(err, errEnd)); writeErr != nil {
			s.current.call.Cancel()
			return &interruptedError{Err: writeErr}
		}
		if errors.Is(err, errEnd) {
			return err
		}
		if err != nil {
			if err := s.resume(ctx, err); err != nil {
				return err
			}
			part, err = s.current.first, s.current.err
			continue
		}
		part, err = s.current.call.Next(ctx)
	}
}

// write sends a part, of an event stream only complete events, so that another box can resume after them.
func (s *streamer) write(part []byte, last bool) error {
	out := part
	if isStream(s.current) {
		s.partial = append(s.partial, part...)
		complete := bytes.LastIndex(s.partial, []byte(eventSeparator)) + len(eventSeparator)
		if complete < len(eventSeparator) {
			complete = 0
		}
		if last || len(s.partial) > maxEventBytes {
			complete = len(s.partial)
		}
		out = s.partial[:complete:complete]
		s.partial = s.partial[complete:]
		s.eventsSent += bytes.Count(out, []byte(eventSeparator))
	}
	if len(out) == 0 {
		return nil
	}
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	if s.recorded != nil && s.recorded.Len() <= claim.MaxResponseBytes {
		s.recorded.Write(out)
	}
	return control.Flush()
}

// resume resumes an interrupted stream at another box that serves the same version; without one it returns the cause of the
// interruption.
func (s *streamer) resume(ctx context.Context, cause error) error {
	var lost *relay.LostError
	t, digest := s.task, s.current.call.Head().Digest
	t.recordFailure(ctx, cause)
	if !errors.As(cause, &lost) || ctx.Err() != nil || !s.resumable() || t.quarantined() || !s.entry.budget.Spend() {
		return cause
	}
	t.pinnedDigest = digest
	t.req.deadline = time.Now().Add(resumeTimeout)
	t.req.header.Set(HeaderResume, strconv.Itoa(s.eventsSent))
	if !t.nextBox(ctx, refusedAt(cause)) {
		return cause
	}
	a, err := t.start(ctx)
	if err != nil {
		return errors.Join(cause, err)
	}
	if got := a.call.Head().Digest; !s.entry.cfg.Checks.Check(got == digest, invariant.OneVersion, "stream of %s went on with %s", digest, got) {
		return cause
	}
	metrics.GetOrCreateCounter(`coralstair_streams_resumed_total`).Inc()
	s.current, s.partial = a, nil
	return nil
}

// resumable reports whether the response could resume at another box of the same version.
func (s *streamer) resumable() bool {
	return s.task.req.repeatable && isStream(s.current) && s.current.call.Head().Digest != "" && s.entry.boxes.resumes(s.task.box)
}

// writeErrorEvent ends an event stream with an error event, and reports whether it was written.
func writeErrorEvent(w http.ResponseWriter, a *attempt, err error, id string) bool {
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
