package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// deadlyEvery is how often each deadly request comes again, backTime how soon a server that ended starts again.
	deadlyEvery = 250 * time.Millisecond
	backTime    = 1500 * time.Millisecond
	// deadlyEnds is how many servers may end under a request until it is known, deadlyMore how often it may reach servers after
	// that was to be known everywhere.
	deadlyEnds = 3
	deadlyMore = 3
	// deadlyShare is the least share of the other requests that is served once the deadly ones are held.
	deadlyShare = 0.9
)

// death is the end of a server under a request.
type death struct {
	server string
	// deadly is the name of the request, the same whenever it comes again.
	deadly string
	at     time.Time
}

// deaths collects the ends of servers.
type deaths struct {
	mu  sync.Mutex
	all []death
}

func (d *deaths) add(one death) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, one)
}

func (d *deaths) list() []death {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]death(nil), d.all...)
}

// mayDie has a server reached directly, so that its port refuses once it has ended, and start again some time after a request
// ended it.
func (r *rig) mayDie(s *standin.Server) {
	s.Address = s.Listen
	s.Died = func(request string) {
		r.deaths.add(death{server: s.ID(), deadly: deadlyName(request), at: time.Now()})
		time.AfterFunc(backTime, func() { r.restart(s, false) })
	}
}

// deadlyID returns the id of a deadly request that comes for the n-th time.
func deadlyID(deadly string, n int) string { return fmt.Sprintf("%s/%d", deadly, n) }

// deadlyName returns the name of the deadly request of an id, empty for any other.
func deadlyName(id string) string {
	name, _, ok := strings.Cut(id, "/")
	if !ok {
		return ""
	}
	return name
}

// deadlyPlan has deadly requests come again and again, each at any entry, and all entries killed in the middle.
func (r *rig) deadlyPlan(out *outcomes) []fault {
	var plan []fault
	for k := range r.opts.Deadly {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		plan = append(plan, fault{
			name: fmt.Sprintf("deadly request %d", k+1), lasts: r.opts.Trouble,
			do:   func() { wg.Go(func() { r.deadly(ctx, k, out) }) },
			undo: func() { cancel(); wg.Wait() },
		})
	}
	for _, p := range r.entries {
		plan = append(plan, fault{
			name: "kill " + p.name, at: r.opts.Trouble / 2, lasts: settleTime, do: p.kill, undo: func() { _ = p.start() },
		})
	}
	return plan
}

// deadly sends one deadly request again and again.
func (r *rig) deadly(ctx context.Context, k int, out *outcomes) {
	turns := rand.New(rand.NewPCG(r.opts.Seed, uint64(k)+1000))
	name := fmt.Sprintf("deadly-%d", k+1)
	for n := 0; tick(ctx, time.Duration(float64(deadlyEvery)*(0.5+turns.Float64()))); n++ {
		entry := turns.IntN(len(r.entries))
		o := outcome{kind: kindStream, entry: entry, life: r.entries[entry].lifeNow()}
		o.ask = standin.Ask{
			ID: deadlyID(name, n), Host: host, Path: streamPath + name, Key: goodKey, Wait: r.size().patience,
			Model: model, Prompt: 100, Tokens: 50, Body: standin.DeadlyBody + " " + name,
		}
		askCtx, cancel := context.WithTimeout(ctx, r.size().patience)
		o.sent = time.Now()
		o.answer = o.ask.Send(askCtx, newCallerClient(), r.entryAt(entry))
		o.ended, o.left = time.Now(), ctx.Err() != nil
		cancel()
		out.add(o)
	}
}

// deadlyHeld checks that a request under which servers ended reaches no more of them once that was to be known everywhere, and
// that the others are served then.
func (j *judge) deadlyHeld() {
	ends, known := make(map[string]int), make(map[string]time.Time)
	for _, d := range j.deaths {
		if ends[d.deadly]++; ends[d.deadly] == deadlyEnds {
			known[d.deadly] = d.at.Add(bounds.Contact)
		}
	}
	more := make(map[string]int)
	for _, a := range j.arrivals {
		name := deadlyName(a.ID)
		if at, ok := known[name]; ok && a.At.After(at) && !j.settling(a.At) {
			more[name]++
		}
	}
	for name, n := range more {
		if n > deadlyMore {
			j.breaks("deadly: %s reached servers %d times after %d had ended under it; %d ended in all", name, n, deadlyEnds, ends[name])
		}
	}
	j.othersServed(known)
}

// settling reports whether an entry was down at a time, or had started so short a time before that it need not know all.
func (j *judge) settling(at time.Time) bool {
	for _, s := range j.spans {
		if strings.HasPrefix(s.name, "kill ") && at.After(s.from) && at.Before(s.to.Add(bounds.Contact)) {
			return true
		}
	}
	return false
}

// othersServed checks that other requests are served in the last third of a run.
func (j *judge) othersServed(known map[string]time.Time) {
	if len(known) == 0 {
		return
	}
	var to time.Time
	for _, s := range j.spans {
		if s.to.After(to) {
			to = s.to
		}
	}
	from := to.Add(-j.rig.opts.Trouble / 3)
	asked, served := 0, 0
	for _, o := range j.outcomes {
		if o.kind == kindProbe || o.left || o.ask.Key != goodKey || deadlyName(o.ask.ID) != "" || o.sent.Before(from) || o.ended.After(to) {
			continue
		}
		asked++
		if o.answer.Whole() {
			served++
		}
	}
	if asked < enough || float64(served) < deadlyShare*float64(asked) {
		j.breaks("deadly: of %d other requests at the end %d were served", asked, served)
	}
}
