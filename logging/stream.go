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

// Bounds of a stream of log lines: what is beyond them is dropped, counted and said once a second.
const (
	LinesPerSecond = 500
	BytesPerSecond = 256 << 10
	queueLines     = 1000
	longestValue   = 400
)

// usualLine is the room that a line is given before its length is known.
const usualLine = 256

var linesDropped = metrics.NewCounter("coralstair_log_lines_dropped_total")

// Stream writes one JSON line an entry, in the order in which they came, and never makes a caller wait: a reader that
// has stopped costs lines, not time.
type Stream struct {
	w     io.Writer
	lines chan []byte
	now   func() time.Time

	mu      sync.Mutex
	second  int64
	count   int
	bytes   int
	dropped int
}

// NewStream returns a stream to w.
func NewStream(w io.Writer) *Stream {
	s := &Stream{w: w, lines: make(chan []byte, queueLines), now: time.Now}
	go func() {
		for line := range s.lines {
			if line == nil {
				return
			}
			_, _ = s.w.Write(line)
		}
	}()
	return s
}

// Close writes what waits, for so long at most, and ends the stream.
func (s *Stream) Close(limit time.Duration) {
	deadline := s.now().Add(limit)
	for len(s.lines) > 0 && s.now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	select {
	case s.lines <- nil:
	default:
	}
}

// HandleLog takes one entry.
func (s *Stream) HandleLog(e *log.Entry) error {
	line := encode(e)
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.count++
	s.bytes += len(line)
	if s.count > LinesPerSecond || s.bytes > BytesPerSecond || !s.offer(line) {
		s.dropped++
		linesDropped.Inc()
	}
	return nil
}

// turn begins to count anew with each second, and says what the last one dropped; mu is held.
func (s *Stream) turn(now time.Time) {
	second := now.Unix()
	if second == s.second {
		return
	}
	if s.dropped > 0 {
		s.offer(encode(&log.Entry{
			Level: log.WarnLevel, Timestamp: now, Message: "log: lines dropped", Fields: log.Fields{"lines": s.dropped},
		}))
	}
	s.second, s.count, s.bytes, s.dropped = second, 0, 0, 0
}

// offer hands a line to the writer; false when too many wait.
func (s *Stream) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// encode writes an entry as a line of JSON, its fields by name.
func encode(e *log.Entry) []byte {
	line := make([]byte, 0, usualLine)
	line = append(line, `{"at":"`...)
	line = e.Timestamp.UTC().AppendFormat(line, "2006-01-02T15:04:05.000Z")
	line = append(line, `","level":"`...)
	line = append(line, e.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendText(line, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		line = append(line, ',')
		line = appendText(line, name)
		line = append(line, ':')
		line = appendValue(line, e.Fields[name])
	}
	return append(line, '}', '\n')
}

// appendValue writes a field's value; one that cannot be encoded is null.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
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

// appendText writes a text in quotes, cut where it is too long; plain ones need no encoder.
func appendText(line []byte, text string) []byte {
	text = text[:min(len(text), longestValue)]
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
