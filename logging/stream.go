package logging

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Limits of an AsyncHandler. Lines over a limit are dropped, counted and reported with the first entry of a later second.
const (
	LinesPerSecond = 500
	BytesPerSecond = 256 << 10
	queueSize      = 1000
	maxValueBytes  = 400
)

// initialLineBytes is the initial capacity of a line's buffer.
const initialLineBytes = 256

var linesDropped = metrics.NewCounter("coralstair_log_lines_dropped_total")

// AsyncHandler writes log entries as JSON lines in order, from a queue. It drops lines rather than block the caller
// on a slow writer.
type AsyncHandler struct {
	w     io.Writer
	lines chan []byte
	now   func() time.Time

	mu        sync.Mutex
	second    int64
	lineCount int
	byteCount int
	dropped   int
}

// NewAsyncHandler returns an AsyncHandler that writes to w.
func NewAsyncHandler(w io.Writer) *AsyncHandler {
	h := &AsyncHandler{w: w, lines: make(chan []byte, queueSize), now: time.Now}
	go func() {
		for line := range h.lines {
			if line == nil {
				return
			}
			_, _ = h.w.Write(line)
		}
	}()
	return h
}

// Close waits at most limit for the queue to empty, then stops the writer unless the queue is still full.
func (h *AsyncHandler) Close(limit time.Duration) {
	deadline := h.now().Add(limit)
	for len(h.lines) > 0 && h.now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	select {
	case h.lines <- nil:
	default:
	}
}

// HandleLog queues one entry; it never blocks or fails.
func (h *AsyncHandler) HandleLog(e *log.Entry) error {
	line := encode(e)
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startSecond(now)
	h.lineCount++
	h.byteCount += len(line)
	if h.lineCount > LinesPerSecond || h.byteCount > BytesPerSecond || !h.enqueue(line) {
		h.dropped++
		linesDropped.Inc()
	}
	return nil
}

// startSecond resets the counters in a new second and logs how many lines the last one dropped. The caller holds mu.
func (h *AsyncHandler) startSecond(now time.Time) {
	second := now.Unix()
	if second == h.second {
		return
	}
	if h.dropped > 0 {
		h.enqueue(encode(&log.Entry{
			Level: log.WarnLevel, Timestamp: now, Message: "log: lines dropped", Fields: log.Fields{"lines": h.dropped},
		}))
	}
	h.second, h.lineCount, h.byteCount, h.dropped = second, 0, 0, 0
}

// enqueue queues a line for writing and returns false if the queue is full.
func (h *AsyncHandler) enqueue(line []byte) bool {
	select {
	case h.lines <- line:
		return true
	default:
		return false
	}
}

// encode formats an entry as a JSON line with sorted fields.
func encode(e *log.Entry) []byte {
	line := make([]byte, 0, initialLineBytes)
	line = append(line, `{"at":"`...)
	line = e.Timestamp.UTC().AppendFormat(line, "2006-01-02T15:04:05.000Z")
	line = append(line, `","level":"`...)
	line = append(line, e.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendString(line, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		line = append(line, ',')
		line = appendString(line, name)
		line = append(line, ':')
		line = appendValue(line, e.Fields[name])
	}
	return append(line, '}', '\n')
}

// appendValue appends a field's value, or null if it cannot be encoded.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return append(line, "null"...)
		}
		return append(line, text...)
	}
}

// appendString appends a quoted string, truncated to maxValueBytes. Plain ASCII needs no JSON encoder.
func appendString(line []byte, text string) []byte {
	text = text[:min(len(text), maxValueBytes)]
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...)
			}
			return append(line, quoted...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
