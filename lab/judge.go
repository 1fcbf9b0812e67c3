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

// judge compares what the callers saw with what the stand-ins recorded.
func (d *drive) judge(capacity float64, took time.Duration) DriveResult {
	result := DriveResult{
		Policy: d.cfg.Policy, Faults: strings.Join(d.cfg.Faults, ","), Seed: d.cfg.Seed, Sent: len(d.outcomes),
		CapacityRPS: capacity, InvariantsBroken: len(d.rig.Checks.Broken()),
	}
	for _, broken := range d.rig.Checks.Broken() {
		result.Broken = append(result.Broken, broken.Error())
	}
	runs := d.runs()
	all, first, refusals, gaps := histogram(), histogram(), histogram(), histogram()
	good, goodAll, small, smallGood := 0, 0, 0, 0
	for _, o := range d.outcomes {
		d.count(&result, o, runs[o.id])
		if o.team > 0 {
			small++
		}
		switch {
		case refused(o):
			record(refusals, o.took)
		case o.err == nil && o.answer.Status == http.StatusOK:
			record(all, o.took)
			if !o.once {
				record(first, o.answer.First)
			}
			if o.answer.Tokens > 1 {
				record(gaps, (o.took-o.answer.First)/time.Duration(o.answer.Tokens-1))
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
	result.TTFTP50, result.TTFTP95 = millis(first, p50), millis(first, p95)
	result.ITLP95, result.P99, result.RefusalP99 = millis(gaps, p95), millis(all, p99), millis(refusals, p99)
	if small > 0 {
		result.SmallTeamGoodput = float64(smallGood) / float64(small)
	}
	return result
}

// count adds one outcome to the result's counts.
func (d *drive) count(result *DriveResult, o outcome, runs int) {
	var cut *CutAnswerError
	switch {
	case isWrong(o.err):
		result.WrongAnswers++
	case errors.As(o.err, &cut):
		result.CutAnswers++
	case o.err != nil:
		result.Unknown++
	case o.answer.Status == http.StatusOK:
		result.Answered++
	case refused(o):
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

// runs adds up what all stand-ins recorded.
func (d *drive) runs() map[string]int {
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

func refused(o outcome) bool {
	return o.err == nil && o.answer.Status != http.StatusOK && o.answer.Outcome == "not-run"
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}
