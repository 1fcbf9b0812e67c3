package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// workload sets the capacity of the servers and the length of the requests.
type workload struct {
	slots int
	// tokens is the minimum length of a stream; up to tokenSpread more are added at random.
	tokens, tokenSpread int
	timeout             time.Duration
	grace               time.Duration
}

var (
	shortStreams = workload{slots: 16, tokens: 10, tokenSpread: 80, timeout: callerTimeout, grace: bounds.Grace}
	// longStreams has streams of seconds and few slots, so that stops overlap with many streams.
	longStreams = workload{slots: 6, tokens: 500, tokenSpread: 500, timeout: 8 * time.Second, grace: 8 * time.Second}
	// quickStreams take hardly longer than a failure, so that callers do not send more requests while servers fail.
	quickStreams = workload{slots: 16, tokens: 1, tokenSpread: 4, timeout: callerTimeout, grace: bounds.Grace}
	// rankedStreams take most of a second each, in few slots: the callers of the urgent route need less than half of the slots, a flood of
	// the other route more than all.
	rankedStreams = workload{slots: 4, tokens: 200, tokenSpread: 100, timeout: callerTimeout, grace: bounds.Grace}
)

func (r *rig) workload() workload {
	switch {
	case r.opts.planned != nil:
		return longStreams
	case r.opts.FailingServers:
		return quickStreams
	case r.opts.Ranks:
		return rankedStreams
	default:
		return shortStreams
	}
}

// dialFailed reports whether no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// checkNothingLost checks that each request gets a complete response or a refusal with Retry-After.
func (c *checker) checkNothingLost() {
	for _, o := range c.outcomes {
		a := o.response
		if o.kind == kindProbe || o.abandoned || a.Err == nil && (a.Status == http.StatusOK || a.Status == http.StatusUnauthorized || a.RetryAfter != "") {
			continue
		}
		what := fmt.Sprintf("status %d without Retry-After", a.Status)
		if a.Err != nil {
			what = a.Err.Error()
		}
		var ran []string
		for _, run := range c.runs {
			if run.ID == o.request.ID {
				ran = append(ran, fmt.Sprintf("%s after %s", run.Server, run.Began.Sub(o.sent).Round(time.Millisecond)))
			}
		}
		c.lost = append(c.lost, o.request.ID)
		c.reportf("lost: %s at entry %d, %s request sent at %s, ended after %s: %s; ran at %q",
			o.request.ID, o.entry+1, o.kind, o.sent.Format("15:04:05.000"), o.ended.Sub(o.sent).Round(time.Millisecond), what, ran)
	}
}
