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
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
	// shownFaults is how many lines that cannot be read are named.
	shownFaults = 5
)

// line is what the report reads of one line of a log.
type line struct {
	At        time.Time `json:"at"`
	Msg       string    `json:"msg"`
	Node      string    `json:"node"`
	Route     string    `json:"route"`
	Team      string    `json:"team"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	First     int64     `json:"first_ms"`
	Predicted int64     `json:"predicted_ms"`
	Waited    int64     `json:"waited_ms"`
	Goal      int64     `json:"goal_ms"`
	ReportAge int64     `json:"report_ms"`
	Writing   int       `json:"writing"`
	Reading   int       `json:"reading"`
	Attempts  int       `json:"attempts"`
	Cause     string    `json:"cause"`
	Version   int64     `json:"version"`
	Site      string    `json:"site"`
}

// Fault is a line that cannot be read.
type Fault struct {
	Name   string
	Line   int
	Reason string
}

// String names the line.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.Name, f.Line, f.Reason) }

var (
	errNoObject = errors.New("no JSON object")
	errNoTime   = errors.New("no time")
	opening     = []byte("{")
)

// parse reads one line; what stands before its first brace is passed over.
func parse(text []byte) (line, error) {
	start := bytes.Index(text, opening)
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

// Read takes a log line by line; name stands for it in faults. Lines that cannot be read are counted and the first ones named;
// one longer than a megabyte ends the reading with an error.
func (r *Report) Read(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	n := 0
	for scanner.Scan() {
		n++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := parse(text)
		if err != nil {
			r.fault(Fault{Name: name, Line: n, Reason: err.Error()})
			continue
		}
		r.take(l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s, after line %d: %w", name, n, err)
	}
	return nil
}

// fault counts a line that cannot be read.
func (r *Report) fault(f Fault) {
	r.unread++
	if len(r.faults) < shownFaults {
		r.faults = append(r.faults, f)
	}
}
