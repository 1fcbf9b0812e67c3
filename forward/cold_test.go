package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/pushback"
)

// coldRate is the rate that a cold server bears in these tests; coldFactor and coldSlack bound what it may get in any second.
const (
	coldRate   = 26.0
	coldFactor = 1.5
	coldSlack  = 5
)

// coldUpstreams returns servers of a service whose starts are cold for three seconds.
func coldUpstreams(returnedAt func(site string) time.Time) *upstreams {
	if returnedAt == nil {
		returnedAt = func(string) time.Time { return time.Time{} }
	}
	return &upstreams{
		coldStart:  func(string) coldStart { return coldStart{time: 3 * time.Second, rate: coldRate} },
		returnedAt: returnedAt,
	}
}

func TestWhatIsCold(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) int64 { return now.Add(-d).UnixMilli() }
	const s = time.Second
	for name, test := range map[string]struct {
		server     contract.Server
		report     *link.Report
		answer     time.Duration
		returnedAt time.Time
		want       time.Duration
	}{
		"started long ago":            {server: contract.Server{Born: ago(time.Hour)}},
		"started a second ago":        {server: contract.Server{Born: ago(s)}, want: 3 * s},
		"start not known":             {server: contract.Server{}, want: 3 * s},
		"cold again, by the list":     {server: contract.Server{Born: ago(time.Hour), ColdLeft: 2 * s}, want: 2 * s},
		"colder by the list":          {server: contract.Server{Born: ago(s), ColdLeft: 9 * s}, want: 9 * s},
		"cold by a report":            {server: contract.Server{Born: ago(time.Hour)}, report: &link.Report{ColdLeft: s}, want: s},
		"cold by an answer":           {server: contract.Server{Born: ago(time.Hour)}, answer: s, want: s},
		"evacuation just taken back":  {server: contract.Server{Born: ago(time.Hour)}, returnedAt: now, want: 3*s + returnTolerance},
		"evacuation taken back early": {server: contract.Server{Born: ago(time.Hour)}, returnedAt: now.Add(-time.Hour)},
	} {
		t.Run(name, func(t *testing.T) {
			us := coldUpstreams(func(string) time.Time { return test.returnedAt })
			test.server.ID, test.server.Service = "a", "s"
			us.update([]discovery.ListedServer{{Server: test.server}})
			up := us.byServer("a")
			if test.report != nil {
				test.report.Server, test.report.Born = "a", test.server.Born
				up.applyReport(*test.report, 1, now)
			}
			up.recordCold(test.answer, now)
			up.mu.Lock()
			defer up.mu.Unlock()
			got := max(up.coldUntil.Sub(now), 0)
			if test.want > 0 && (got < test.want-s/10 || got > test.want+s/2) || test.want == 0 && got > s/10 {
				t.Errorf("cold for %s, want %s", got, test.want)
			}
		})
	}
}

// TestRestartIsColdAgain checks that a server that restarts under its id counts as cold, by its list entry or by a report.
func TestRestartIsColdAgain(t *testing.T) {
	for name, restart := range map[string]func(us *upstreams, born int64){
		"list": func(us *upstreams, born int64) {
			us.update([]discovery.ListedServer{{Server: contract.Server{ID: "a", Service: "s", Born: born}}})
		},
		"report": func(us *upstreams, born int64) { us.applyReport(link.Report{Server: "a", Born: born}, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			us := coldUpstreams(nil)
			us.update([]discovery.ListedServer{{Server: contract.Server{ID: "a", Service: "s", Born: time.Now().Add(-time.Hour).UnixMilli()}}})
			restart(us, time.Now().UnixMilli())
			up := us.byServer("a")
			up.mu.Lock()
			defer up.mu.Unlock()
			if left := time.Until(up.coldUntil); left < 2*time.Second {
				t.Errorf("cold for %s after a restart, want 3 s", left)
			}
		})
	}
}

// coldEntry is an entry that shares a cold server; it believes in so many entries and sends what arrives late.
type coldEntry struct {
	up      *upstream
	entries int
	frozen  func(at time.Duration) bool
	delay   time.Duration
}

// TestColdServersGetWhatTheyBear plays entries that all want to send to one cold server at once: in no second it gets more than the bound,
// and it is not left idle.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const step, duration = 5 * time.Millisecond, 8 * time.Second
	for _, n := range []int{3, 15, 60, 300} {
		for name, spoil := range map[string]func(i int, e *coldEntry){
			"all alike":        func(int, *coldEntry) {},
			"a fifth restarts": func(i int, e *coldEntry) { e.entries = map[bool]int{true: max(n, 20), false: n}[i%5 == 0] },
			"a third is frozen by turns": func(i int, e *coldEntry) {
				e.frozen = func(at time.Duration) bool { return i%3 == 0 && at%(2*time.Second) < time.Second }
			},
			"a third sends late": func(i int, e *coldEntry) { e.delay = time.Duration(i%3/2) * 400 * time.Millisecond },
			"some count too few": func(_ int, e *coldEntry) { e.entries = max(n-n/8, 1) },
		} {
			t.Run(fmt.Sprintf("%d entries, %s", n, name), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(n), 3))
				start := time.Now()
				entries := make([]coldEntry, n)
				for i := range entries {
					entries[i] = coldEntry{up: &upstream{weight: 1, coldRate: coldRate, coldUntil: start.Add(time.Hour)}, entries: n}
					spoil(i, &entries[i])
					receipt := pushback.Receipt{Sent: start, Received: start, Share: 1 / float64(entries[i].entries), Phase: rng.Float64()}
					entries[i].up.cold = pushback.Limit{}.With(pushback.Signal{Limited: true, Limit: coldRate}, receipt)
				}
				var arrived []time.Duration
				for at := time.Duration(0); at < duration; at += step {
					now := start.Add(at)
					for _, i := range rng.Perm(n) {
						e := &entries[i]
						if e.frozen != nil && e.frozen(at) {
							continue
						}
						if e.up.tryAcquire(1, 0, e.entries, now) != nil {
							arrived = append(arrived, at+e.delay)
						}
					}
				}
				if most, allowed := mostWithin(arrived, time.Second), coldFactor*coldRate+coldSlack; float64(most) > allowed {
					t.Errorf("%d requests arrive in one second, %.0f are allowed", most, allowed)
				}
				if least := 0.5 * coldRate * duration.Seconds(); float64(len(arrived)) < least {
					t.Errorf("%d requests in %s, want %.0f at least", len(arrived), duration, least)
				}
			})
		}
	}
}

// TestManyEntriesSeldomSendAtOnce bounds how often the random phases of entries that count too few coincide: entries do not coordinate, so in
// some draws of phases a second holds more than the bound. It may in one of 500.
func TestManyEntriesSeldomSendAtOnce(t *testing.T) {
	const n, counted, draws, duration = 300, 263, 5000, 8 * time.Second
	rng := rand.New(rand.NewPCG(1, 4))
	start, above, allowed := time.Now(), 0, coldFactor*coldRate+coldSlack
	for range draws {
		var arrived []time.Duration
		for range n {
			receipt := pushback.Receipt{Sent: start, Received: start, Share: 1.0 / counted, Phase: rng.Float64()}
			limit := pushback.Limit{}.With(pushback.Signal{Limited: true, Limit: coldRate}, receipt)
			for at := limit.Wait(start, receipt.Share); at < duration; at = limit.Wait(start, receipt.Share) {
				arrived = append(arrived, at)
				limit = limit.WithSent(start.Add(at), receipt.Share)
			}
		}
		slices.Sort(arrived)
		most, from := 0, 0
		for i, at := range arrived {
			for arrived[from] <= at-time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
		if float64(most) > allowed {
			above++
		}
	}
	if above > draws/500 {
		t.Errorf("in %d of %d draws more than %.0f requests arrive in one second", above, draws, allowed)
	}
	t.Logf("more than %.0f requests in one second in %d of %d draws", allowed, above, draws)
}

// mostWithin returns the most arrivals within any span of a length.
func mostWithin(arrived []time.Duration, span time.Duration) (most int) {
	for _, from := range arrived {
		n := 0
		for _, at := range arrived {
			if at >= from && at < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
