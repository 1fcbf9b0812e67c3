package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// refusedAt returns a refusal at start, given the time since the request's first try and until its deadline.
func refusedAt(fingerprint uint64, sinceFirst, untilDeadline time.Duration) Refusal {
	return Refusal{Fingerprint: fingerprint, FirstTry: start.Add(-sinceFirst), Deadline: start.Add(untilDeadline)}
}

func TestRetriesAreDetected(t *testing.T) {
	refusal := refusedAt(7, ms(200), ms(5000))
	for name, test := range map[string]struct {
		refusals    []Refusal
		fingerprint uint64
		at, left    time.Duration
		want        bool
	}{
		"retry": {[]Refusal{refusal}, 7, ms(900), ms(4100), true},
		"retry with slightly different network delay": {[]Refusal{refusal}, 7, ms(900), ms(4085), true},
		"no refusal":                             {nil, 7, ms(900), ms(4100), false},
		"other request":                          {[]Refusal{refusal}, 8, ms(900), ms(4100), false},
		"equal request with a later deadline":    {[]Refusal{refusal}, 7, ms(900), ms(5000), false},
		"equal request with an earlier deadline": {[]Refusal{refusal}, 7, ms(900), ms(3000), false},
		"equal requests told apart by deadline":  {[]Refusal{refusedAt(7, 0, ms(5500)), refusal}, 7, ms(900), ms(4100), true},
		"after the retry window":                 {[]Refusal{refusal}, 7, ms(4500), ms(500), false},
	} {
		t.Run(name, func(t *testing.T) {
			var r RetryDetector
			for _, refusal := range test.refusals {
				r.Record(refusal, start)
			}
			now := start.Add(test.at)
			first, ok := r.Match(test.fingerprint, now.Add(test.left), now)
			if ok != test.want || ok && !first.Equal(refusal.FirstTry) {
				t.Errorf("matched %t, first try at %s; want %t", ok, first.Sub(start), test.want)
			}
			if _, again := r.Match(test.fingerprint, now.Add(test.left), now); again {
				t.Error("one refusal matched twice")
			}
		})
	}
}

func TestRecordedRefusalsAreBounded(t *testing.T) {
	var r RetryDetector
	for i := range 2 * maxRefusals {
		r.Record(refusedAt(uint64(i), 0, ms(5000)), start)
	}
	if len(r.oldestFirst) > maxRefusals || len(r.byFingerprint) > maxRefusals {
		t.Errorf("%d in order and %d fingerprints are kept", len(r.oldestFirst), len(r.byFingerprint))
	}
	r.Record(refusedAt(1, 0, ms(5000)), start.Add(retryWindow+time.Second))
	if len(r.oldestFirst) != 1 || len(r.byFingerprint) != 1 {
		t.Errorf("%d in order and %d fingerprints are kept after expiry, want 1", len(r.oldestFirst), len(r.byFingerprint))
	}
}

// TestRetryDetectionAccuracy checks that few tries are misclassified when callers' timeouts differ and a third of the
// requests are equal.
func TestRetryDetectionAccuracy(t *testing.T) {
	const callers, rate, wait = 20000, 300, 6 * time.Second
	for name, spread := range map[string]float64{"equal": 0, "by 0.15": 0.15, "by 0.4": 0.4} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(spread*100)))
			type try struct {
				at          time.Time
				fingerprint uint64
				deadline    time.Time
				retry       bool
			}
			var r RetryDetector
			var retries []try
			wrong, sent := 0, 0
			now := start
			send := func(one try) {
				jitter := time.Duration(rng.IntN(8)) * time.Millisecond
				_, matched := r.Match(one.fingerprint, one.deadline.Add(jitter), one.at)
				sent++
				if matched != one.retry {
					wrong++
				}
				if !one.retry && rng.IntN(4) == 0 {
					r.Record(Refusal{Fingerprint: one.fingerprint, FirstTry: one.at, Deadline: one.deadline}, one.at)
					after := ms(400 + rng.IntN(900))
					retries = append(retries, try{at: one.at.Add(after), fingerprint: one.fingerprint, deadline: one.deadline, retry: true})
				}
			}
			for i := range callers {
				now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				for len(retries) > 0 && retries[0].at.Before(now) {
					one := retries[0]
					retries = retries[1:]
					send(one)
				}
				fingerprint := uint64(i) + 1000
				if rng.IntN(3) == 0 {
					fingerprint = 1 + uint64(rng.IntN(20))
				}
				patience := time.Duration((1 - spread*rng.Float64()) * float64(wait)).Round(time.Millisecond)
				send(try{at: now, fingerprint: fingerprint, deadline: now.Add(patience)})
			}
			if share := float64(wrong) / float64(sent); share > 0.02 {
				t.Errorf("%.1f%% of requests misclassified", 100*share)
			} else {
				t.Log(fmt.Sprintf("%.2f%% of requests misclassified", 100*share))
			}
		})
	}
}
