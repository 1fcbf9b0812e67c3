package lab

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	p50 = 50
	p95 = 95
)

// summarize compares the callers' outcomes with the runs that the fakes recorded.
func (d *drive) summarize(capacity float64, took time.Duration) DriveResult {
	result := DriveResult{
		Policy: d.cfg.Policy, Faults: strings.Join(d.cfg.Faults, ","), Seed: d.cfg.Seed, Sent: len(d.outcomes),
		CapacityRPS: capacity, InvariantsBroken: len(d.rig.Checks.Violations()),
	}
	for _, violation := range d.rig.Checks.Violations() {
		result.Broken = append(result.Broken, violation.Error())
	}
	runs := d.totalRuns()
	all, first, refusals, gaps := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	good, goodAll, small, smallGood := 0, 0, 0, 0
	for _, o := range d.outcomes {
		d.countOutcome(&result, o, runs[o.id])
		if o.team > 0 {
			small++
		}
		switch {
		case isRefusal(o):
			recordDuration(refusals, o.took)
		case o.err == nil && o.answer.Status == http.StatusOK:
			recordDuration(all, o.took)
			if !o.once {
				recordDuration(first, o.answer.TimeToFirstToken)
			}
			if o.answer.Tokens > 1 {
				recordDuration(gaps, (o.took-o.answer.TimeToFirstToken)/time.Duration(o.answer.Tokens-1))
			}
			if o.took <= driveTimeout {
				goodAll++
				if !o.once {
					good++
				}
			} else {
				result.Late++
			}
			if o.team > 0 && o.took <= driveTimeout {
				smallGood++
			}
		}
	}
	seconds := max(took.Seconds(), d.cfg.Duration.Seconds())
	result.GoodputRPS = float64(goodAll) / seconds
	result.GoodputRatio = float64(good) / seconds / capacity
	result.TTFTP50, result.TTFTP95 = quantileMillis(first, p50), quantileMillis(first, p95)
	result.ITLP95, result.P99, result.RefusalP99 = quantileMillis(gaps, p95), quantileMillis(all, p99), quantileMillis(refusals, p99)
	if small > 0 {
		result.SmallTeamGoodput = float64(smallGood) / float64(small)
	}
	return result
}

func (d *drive) countOutcome(result *DriveResult, o outcome, runs int) {
	var truncated *TruncatedAnswerError
	switch {
	case isWrongAnswer(o.err):
		result.WrongAnswers++
	case errors.As(o.err, &truncated):
		result.CutAnswers++
	case o.err != nil:
		result.Unknown++
	case o.answer.Status == http.StatusOK:
		result.Answered++
	case isRefusal(o):
		result.RefusedNotRun++
		if runs > 0 {
			result.RanAfterNotRun++
		}
	default:
		result.Unknown++
	}
	if o.once && runs > 1 {
		result.RepeatedRuns++
	}
}

// totalRuns sums the runs of all upstreams, by request ID.
func (d *drive) totalRuns() map[string]int {
	total := make(map[string]int)
	for _, b := range d.rig.Boxes {
		counts := make(map[string]int)
		if b.Engine != nil {
			counts = b.Engine.Runs.Counts()
		}
		if b.Plain != nil {
			counts = b.Plain.Runs.Counts()
		}
		for id, n := range counts {
			total[id] += n
		}
	}
	return total
}

func isRefusal(o outcome) bool {
	return o.err == nil && o.answer.Status != http.StatusOK && o.answer.Outcome == "not-run"
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}
