package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// size is how much servers take and callers ask for.
type size struct {
	slots int
	// tokens are the fewest of a stream, spread how many more there are at most.
	tokens, spread int
	patience       time.Duration
	grace          time.Duration
}

var (
	short = size{slots: 16, tokens: 10, spread: 80, patience: patience, grace: bounds.Grace}
	// long has streams of 1.5 to 3 s and few slots.
	long = size{slots: 6, tokens: 500, spread: 500, patience: 8 * time.Second, grace: 8 * time.Second}
)

func (r *rig) size() size {
	if r.opts.planned != nil {
		return long
	}
	return short
}

// unreached reports whether no connection came about.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// nothingLost checks that beside planned work each request gets its whole answer or is refused with a time to come back.
func (j *judge) nothingLost() {
	for _, o := range j.outcomes {
		a := o.answer
		if o.kind == kindProbe || o.left || a.Cut == nil && (a.Status == http.StatusOK || a.Status == http.StatusUnauthorized || a.Back != "") {
			continue
		}
		what := fmt.Sprintf("status %d and no time to come back", a.Status)
		if a.Cut != nil {
			what = a.Cut.Error()
		}
		var ran []string
		for _, run := range j.runs {
			if run.ID == o.ask.ID {
				ran = append(ran, fmt.Sprintf("%s from %s on", run.Server, run.Began.Sub(o.sent).Round(time.Millisecond)))
			}
		}
		j.lost = append(j.lost, o.ask.ID)
		j.breaks("lost: %s of entry %d, %s sent %s, after %s: %s; ran at %q",
			o.ask.ID, o.entry+1, o.kind, o.sent.Format("15:04:05.000"), o.ended.Sub(o.sent).Round(time.Millisecond), what, ran)
	}
}
