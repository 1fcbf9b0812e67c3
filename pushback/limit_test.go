package pushback

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// limited returns a signal with a limit, in requests per second.
func limited(rate float64) Signal { return Signal{Limited: true, Limit: rate} }

func TestWordsChangeTheLimit(t *testing.T) {
	type received struct {
		sent, at time.Duration
		signal   Signal
	}
	const s = time.Second
	for name, test := range map[string]struct {
		received []received
		want     float64
		on       bool
	}{
		"no signal":     {},
		"limit":         {received: []received{{0, s, limited(2)}}, want: 2, on: true},
		"limit of zero": {received: []received{{0, s, limited(0)}}, on: true},
		"limit lifted":  {received: []received{{0, s, limited(2)}, {2 * s, 3 * s, Signal{}}}},
		"limit lifted by a response to an earlier request": {
			received: []received{{0, 2 * s, limited(2)}, {s, 3 * s, Signal{}}}, want: 2, on: true,
		},
		"limit raised": {received: []received{{0, s, limited(2)}, {2 * s, 3 * s, limited(4)}}, want: 4, on: true},
		"limit raised by a response to an earlier request": {received: []received{{0, 2 * s, limited(2)}, {s, 3 * s, limited(4)}}, want: 2, on: true},
		"limit lowered by a response to an earlier request": {
			received: []received{{0, 2 * s, limited(4)}, {s, 3 * s, limited(2)}}, want: 2, on: true,
		},
		"limit repeated while a response without it is in flight": {
			received: []received{{0, s, limited(2)}, {0, 4 * s, limited(2)}, {2 * s, 5 * s, Signal{}}}, want: 2, on: true,
		},
		"limit lifted, then repeated by a late response": {received: []received{{0, s, limited(2)}, {2 * s, 3 * s, Signal{}}, {s, 4 * s, limited(2)}}, want: 2, on: true},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limit
			for _, r := range test.received {
				l = l.With(r.signal, Receipt{Sent: after(r.sent), Received: after(r.at), Share: 1})
			}
			if l.active != test.on || l.rate != test.want {
				t.Errorf("limited %t to %v, want %t, %v", l.active, l.rate, test.on, test.want)
			}
		})
	}
}

func TestExtremeLimits(t *testing.T) {
	for name, test := range map[string]struct {
		rate, share float64
		least, most time.Duration
	}{
		"zero: minimum rate": {0, 1, 10 * time.Second, 10 * time.Second},
		"tiny":               {1e-300, 0.2, 50 * time.Second, 50 * time.Second},
		"small":              {1, 0.25, 5 * time.Second, 6 * time.Second},
		"huge":               {1e300, 0.1, 0, 0},
		"share of zero":      {1, 0, maxInterval, maxInterval},
	} {
		t.Run(name, func(t *testing.T) {
			l := Limit{}.With(limited(test.rate), Receipt{Sent: start, Received: start, Share: test.share})
			l = l.WithSent(start, test.share)
			if got := l.Wait(start, test.share).Round(time.Millisecond); got < test.least || got > test.most {
				t.Errorf("next send in %s, want %s to %s", got, test.least, test.most)
			}
		})
	}
}

func TestPermitsDoNotGather(t *testing.T) {
	l := Limit{}.With(limited(4), Receipt{Sent: start, Received: start, Share: 0.1})
	every := interval(4, 0.1)
	if got := l.Wait(after(10*every+sendWindow/2), 0.1); got != 0 {
		t.Errorf("a request waits %s within its send window, want 0", got)
	}
	if got := l.Wait(after(10*every+2*sendWindow), 0.1); got != every-2*sendWindow {
		t.Errorf("a request waits %s after its send window, want %s", got, every-2*sendWindow)
	}
	l = l.WithSent(after(10*every+sendWindow/2), 0.1)
	if got := l.Wait(after(10*every+sendWindow), 0.1); got != every-sendWindow {
		t.Errorf("a request waits %s after the previous one, want %s", got, every-sendWindow)
	}
}

// TestLimitsHoldOverAllCallers simulates uncoordinated callers under steady load and bursts after pauses: their total rate
// stays within the limit.
func TestLimitsHoldOverAllCallers(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		duration = 2 * time.Minute
		window   = 4 * time.Second
	)
	for _, callers := range []int{1, 5, 13, 53} {
		for _, rate := range []float64{0, 0.2, 1, 1.6, 4, 20} {
			for name, sends := range map[string]func(at time.Duration) bool{
				"always":         func(time.Duration) bool { return true },
				"after pauses":   func(at time.Duration) bool { return at%(20*time.Second) > 12*time.Second },
				"for an instant": func(at time.Duration) bool { return at%(15*time.Second) < step },
			} {
				t.Run(fmt.Sprintf("%d callers, %v a second, %s", callers, rate, name), func(t *testing.T) {
					rng := rand.New(rand.NewPCG(uint64(callers), uint64(rate*10)))
					share := 1 / float64(callers)
					limits := make([]Limit, callers)
					for i := range limits {
						limits[i] = limits[i].With(limited(rate), Receipt{Sent: start, Received: start, Share: share, Phase: rng.Float64()})
					}
					var sent []time.Duration
					for at := time.Duration(0); at < duration; at += step {
						for i := range limits {
							if sends(at) && limits[i].Wait(after(at), share) == 0 {
								limits[i] = limits[i].WithSent(after(at), share)
								sent = append(sent, at)
							}
						}
					}
					most := 0
					for i, from := range sent {
						n := 0
						for _, at := range sent[i:] {
							if at < from+window {
								n++
							}
						}
						most = max(most, n)
					}
					if allowed := 1.5*rate*window.Seconds() + 5; float64(most) > allowed {
						t.Errorf("%d requests in %s, allowed %.0f", most, window, allowed)
					}
					if least := 0.6 * rate * duration.Seconds(); name == "always" && float64(len(sent)) < least {
						t.Errorf("%d requests in %s, the limit allows %.0f", len(sent), duration, rate*duration.Seconds())
					}
				})
			}
		}
	}
}
