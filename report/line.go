package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	maxLineBytes = 1 << 20
	// maxFaults is how many unreadable lines are reported individually.
	maxFaults = 5
)

// line has the fields of a log line that the report uses.
type line struct {
	At         time.Time `json:"at"`
	Msg        string    `json:"msg"`
	Node       string    `json:"node"`
	Route      string    `json:"route"`
	Team       string    `json:"team"`
	Outcome    string    `json:"outcome"`
	Status     int       `json:"status"`
	FirstEvent int64     `json:"first_ms"`
	Predicted  int64     `json:"predicted_ms"`
	Waited     int64     `json:"waited_ms"`
	Goal       int64     `json:"goal_ms"`
	ReportAge  int64     `json:"report_ms"`
	Decoding   int       `json:"writing"`
	Prefilling int       `json:"reading"`
	Attempts   int       `json:"attempts"`
	// Rank is nil where requests for the service do not differ in rank.
	Rank    *int   `json:"rank"`
	Cause   string `json:"cause"`
	Version int64  `json:"version"`
	Site    string `json:"site"`
}

// Fault is an unreadable log line.
type Fault struct {
	Name   string
	Line   int
	Reason string
}

// String returns the position and the reason.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.Name, f.Line, f.Reason) }

var (
	errNoObject = errors.New("no JSON object")
	errNoTime   = errors.New("no time")
	openBrace   = []byte("{")
)

// parse parses one line and skips any text before its first brace.
func parse(text []byte) (line, error) {
	start := bytes.Index(text, openBrace)
	if start < 0 {
		return line{}, errNoObject
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		return line{}, err
	}
	if l.At.IsZero() {
		return line{}, errNoTime
	}
	return l, nil
}

// Read adds the lines of a log; name identifies the log in faults. Unreadable lines are counted; a line longer than
// maxLineBytes is an error.
func (r *Report) Read(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	n := 0
	for scanner.Scan() {
		n++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := parse(text)
		if err != nil {
			r.addFault(Fault{Name: name, Line: n, Reason: err.Error()})
			continue
		}
		r.addLine(l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s, after line %d: %w", name, n, err)
	}
	return nil
}

func (r *Report) addFault(f Fault) {
	r.unreadable++
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, f)
	}
}
