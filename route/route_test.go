package route

import (
	"testing"
	"time"
)

func TestPickLessLoadedOfTwo(t *testing.T) {
	candidates := []Candidate{
		{ID: "busy", InFlight: 5},
		{ID: "idle"},
		{ID: "others", InFlight: 1, Reported: 9, ReportedOwn: 1},
	}
	for name, tc := range map[string]struct {
		draws []int
		want  string
	}{
		"own load":                 {[]int{0, 0}, "idle"},
		"load of other entries":    {[]int{2, 0}, "busy"},
		"equal load: first choice": {[]int{1, 1}, "idle"},
	} {
		t.Run(name, func(t *testing.T) {
			draws := tc.draws
			p := &Picker{Intn: func(int) int {
				n := draws[0]
				draws = draws[1:]
				return n
			}}
			if got, ok := p.Pick(candidates); !ok || got.ID != tc.want {
				t.Errorf("picked %s, want %s", got.ID, tc.want)
			}
		})
	}
	if _, ok := new(Picker).Pick(nil); ok {
		t.Error("picked from none")
	}
}

func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	fail := func(h *Health, id string, n int) {
		for range n {
			h.Failed(id, now)
		}
	}
	for name, tc := range map[string]struct {
		prepare func(*Health)
		at      time.Time
		want    int
	}{
		"none failed":               {func(*Health) {}, now, 3},
		"too few failures":          {func(h *Health) { fail(h, "a", failuresBeforeEjection-1) }, now, 3},
		"one ejected":               {func(h *Health) { fail(h, "a", failuresBeforeEjection) }, now, 2},
		"back after the ejection":   {func(h *Health) { fail(h, "a", failuresBeforeEjection) }, now.Add(ejectionTime), 3},
		"second ejection is longer": {func(h *Health) { fail(h, "a", 2*failuresBeforeEjection) }, now.Add(ejectionTime), 2},
		"success resets": {func(h *Health) {
			fail(h, "a", failuresBeforeEjection)
			h.Succeeded("a")
		}, now, 3},
		"not more than half of a service": {func(h *Health) {
			fail(h, "a", failuresBeforeEjection)
			fail(h, "b", failuresBeforeEjection)
		}, now, 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := new(Health)
			tc.prepare(h)
			if got := len(h.Filter(all, tc.at)); got != tc.want {
				t.Errorf("%d boxes left, want %d", got, tc.want)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	b := new(Budget)
	spent := 0
	for b.Spend() {
		spent++
	}
	if spent != initialTokens {
		t.Errorf("%d retries without requests, want %d", spent, initialTokens)
	}
	for range 100 {
		b.Earn()
	}
	spent = 0
	for b.Spend() {
		spent++
	}
	if spent < 9 || spent > 10 {
		t.Errorf("%d retries for 100 requests, want 9 or 10", spent)
	}
}
