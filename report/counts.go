package report

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are requests by what became of them.
type Counts struct {
	Asked, InTime, Late, Refused, Failed, Gone int
	// Returns are those that came back after a refusal, Served those of them that were answered.
	Returns, Served int
}

// add counts a request.
func (c *Counts) add(l line) {
	c.Asked++
	what := outcomeOf(l)
	switch what {
	case inTime:
		c.InTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	case gone:
		c.Gone++
	default:
		c.Failed++
	}
	if l.Waited > 0 {
		c.Returns++
		if what == inTime || what == late {
			c.Served++
		}
	}
}

// plus adds other counts.
func (c *Counts) plus(other Counts) {
	c.Asked += other.Asked
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.Gone += other.Gone
	c.Returns += other.Returns
	c.Served += other.Served
}

// share returns a part of the requests in percent.
func (c *Counts) share(part int) float64 {
	if c.Asked == 0 {
		return 0
	}
	return 100 * float64(part) / float64(c.Asked)
}

// outcome is what became of a request.
type outcome int

const (
	failed outcome = iota
	inTime
	late
	refused
	gone
)

// Outcomes as the log has them.
const (
	outcomeAnswered = "answered"
	outcomeGone     = "caller-gone"
)

// outcomeOf tells what became of a request: an answer counts from the caller's first try.
func outcomeOf(l line) outcome {
	switch {
	case l.Outcome == outcomeAnswered && l.Goal > 0 && l.Waited+l.First > l.Goal:
		return late
	case l.Outcome == outcomeAnswered:
		return inTime
	case l.Outcome == outcomeGone:
		return gone
	case l.Status == http.StatusServiceUnavailable || l.Status == http.StatusTooManyRequests:
		return refused
	default:
		return failed
	}
}

// The range and exactness of histograms of times, in milliseconds.
const (
	leastTime = 1
	mostTime  = int64(10 * time.Minute / time.Millisecond)
	digits    = 2
)

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(leastTime, mostTime, digits) }

// record notes a time in milliseconds; one beyond the range counts as the longest.
func record(h *hdrhistogram.Histogram, ms int64) {
	_ = h.RecordValue(min(max(ms, leastTime), mostTime))
}
