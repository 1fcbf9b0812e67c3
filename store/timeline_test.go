package store

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// TestBefore checks as of when nothing had been written at a position yet.
func TestBefore(t *testing.T) {
	type response struct {
		epoch    Epoch
		position int64
		at       Time
	}
	for name, test := range map[string]struct {
		responses []response
		position  int64
		want      Time
	}{
		"no response":                              {nil, 5, 0},
		"only the response that shows it":          {[]response{{0, 5, 100}}, 5, 0},
		"the response before":                      {[]response{{0, 3, 100}, {0, 4, 200}, {0, 5, 300}}, 5, 200},
		"the same position seen again later":       {[]response{{0, 4, 200}, {0, 4, 250}, {0, 5, 300}}, 5, 250},
		"the same position seen again out of turn": {[]response{{0, 4, 250}, {0, 5, 300}, {0, 4, 200}}, 5, 250},
		"a response out of turn":                   {[]response{{0, 3, 100}, {0, 6, 300}, {0, 4, 200}}, 5, 200},
		"an older epoch of the store":              {[]response{{0, 4, 200}, {1, 7, 300}}, 5, 0},
		"a late response of an older epoch":        {[]response{{1, 7, 300}, {0, 4, 200}}, 5, 0},
		"no time":                                  {[]response{{0, 4, 0}}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var times Timeline
			for _, r := range test.responses {
				times.Observe(r.epoch, r.position, r.at, clock.Now())
			}
			if got := times.Before(test.position); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

// TestMarksAreBounded checks that the newest responses are remembered.
func TestMarksAreBounded(t *testing.T) {
	var times Timeline
	for i := range int64(3 * maxMarks) {
		times.Observe(0, i, Time(i+1), clock.Now())
	}
	if got := times.Before(3 * maxMarks); got != 3*maxMarks || len(times.marks) != maxMarks {
		t.Errorf("%d of %d marks", got, len(times.marks))
	}
}

// TestLocalTimesAreNotLate guards against times that are taken to be later than they were, however long responses take and whatever
// the clocks do.
func TestLocalTimesAreNotLate(t *testing.T) {
	const second = time.Second
	type response struct {
		// request and reply are how long each way takes, jump is by how much the store's clock jumps before, after how long it is sent.
		request, reply, jump, after time.Duration
	}
	for name, test := range map[string]struct {
		responses []response
		// early is by how much the time may be too early; 0 for no bound.
		early time.Duration
	}{
		"one response":                {[]response{{}}, 2 * time.Millisecond},
		"a slow request":              {[]response{{request: second}}, second + 2*time.Millisecond},
		"a slow reply":                {[]response{{reply: second}}, 2 * time.Millisecond},
		"a slow request after others": {[]response{{}, {request: second}}, 2 * time.Millisecond},
		"a quick one after a slow one": {
			[]response{{request: second, reply: second}, {}}, 2 * time.Millisecond,
		},
		"the store's clock jumps back":    {[]response{{}, {jump: -3 * second}}, 4 * second},
		"the store's clock jumps forward": {[]response{{}, {jump: 3 * second}}, 4 * second},
		"after many windows":              {[]response{{}, {after: 5 * offsetWindow}, {after: 5 * offsetWindow}}, 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var times Timeline
				began, jumped := time.Now().Add(-time.Hour), time.Duration(0)
				storeNow := func() Time { return Time((time.Since(began) + jumped).Milliseconds()) }
				for i, r := range test.responses {
					time.Sleep(r.after)
					jumped += r.jump
					sent := clock.Now()
					time.Sleep(r.request)
					at := storeNow()
					time.Sleep(r.reply)
					times.Observe(0, int64(i), at, sent)
				}
				now, truth := storeNow(), clock.Now()
				got, ok := times.Local(now)
				if late := got.Sub(truth); !ok || late > 0 || test.early > 0 && late < -test.early {
					t.Errorf("known %t, %s late", ok, late)
				}
			})
		})
	}
	var none *Timeline
	if _, ok := none.Local(1); ok {
		t.Error("known without a timeline")
	}
	if _, ok := new(Timeline).Local(1); ok {
		t.Error("known before any response")
	}
}
