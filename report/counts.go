package report

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the numbers of requests by outcome.
type Counts struct {
	Requests, InTime, Late, Refused, Failed, CallerGone int
	// Retries are requests tried again after a refusal, RetriesAnswered those of them that were answered.
	Retries, RetriesAnswered int
}

func (c *Counts) add(l line) {
	c.Requests++
	result := classify(l)
	switch result {
	case inTime:
		c.InTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	case callerGone:
		c.CallerGone++
	default:
		c.Failed++
	}
	if l.Waited > 0 {
		c.Retries++
		if result == inTime || result == late {
			c.RetriesAnswered++
		}
	}
}

func (c *Counts) merge(other Counts) {
	c.Requests += other.Requests
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.CallerGone += other.CallerGone
	c.Retries += other.Retries
	c.RetriesAnswered += other.RetriesAnswered
}

// percent returns part as a percentage of all requests.
func (c *Counts) percent(part int) float64 {
	if c.Requests == 0 {
		return 0
	}
	return 100 * float64(part) / float64(c.Requests)
}

type outcome int

const (
	failed outcome = iota
	inTime
	late
	refused
	callerGone
)

// Outcomes as logged.
const (
	outcomeAnswered = "answered"
	outcomeGone     = "caller-gone"
)

// classify returns the outcome of a request. An answer is late if it exceeds the goal counted from the caller's first try.
func classify(l line) outcome {
	switch {
	case l.Outcome == outcomeAnswered && l.Goal > 0 && l.Waited+l.FirstEvent > l.Goal:
		return late
	case l.Outcome == outcomeAnswered:
		return inTime
	case l.Outcome == outcomeGone:
		return callerGone
	case l.Status == http.StatusServiceUnavailable || l.Status == http.StatusTooManyRequests:
		return refused
	default:
		return failed
	}
}

// The range, in milliseconds, and the precision of time histograms.
const (
	minTime   = 1
	maxTime   = int64(10 * time.Minute / time.Millisecond)
	precision = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minTime, maxTime, precision) }

// recordTime records a time in milliseconds, clamped to the range.
func recordTime(h *hdrhistogram.Histogram, ms int64) {
	_ = h.RecordValue(min(max(ms, minTime), maxTime))
}
