package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// reviewPath begins the paths of the less urgent route to the model servers; floodTeam floods it, with floodKey.
	reviewPath = "/review/"
	floodKey   = "key-of-a-crowd"
	floodTeam  = "crowd"
	// floodCallers is how many callers send reviews one after the other; after a refusal each waits half a request interval only.
	floodCallers = 60
	floodTime    = 8 * time.Second
	// rankTolerance is by how much a more urgent route may be served less often than a less urgent one.
	rankTolerance = 0.05
	// leastShare is the least fraction of requests served on a route, relative to that of all.
	leastShare = 0.25
)

// withRanks makes the first route the most urgent, and adds a less urgent one to the same model servers and the team that floods it.
func withRanks(routes []standin.Route, teams []standin.Tenant) ([]standin.Route, []standin.Tenant) {
	review := routes[0]
	routes[0].Priority = 0
	review.Name, review.PathPrefix, review.Priority, review.GoalMs = "review", reviewPath, 2, 1000
	return append(routes, review), append(teams, standin.Tenant{Name: floodTeam, APIKeys: []string{floodKey}})
}

// floodPlan floods the less urgent route while an entry is killed and a box is cut off.
func (r *rig) floodPlan(ctx context.Context, out *outcomes) []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 11))
	killed, cut := r.entries[rng.IntN(len(r.entries))], r.boxHops[rng.IntN(len(r.boxHops))]
	var stop func()
	return []fault{
		{name: "flood", duration: floodTime, do: func() { stop = r.flood(ctx, out) }, undo: func() { stop() }},
		{name: "kill " + killed.name, at: floodTime / 4, duration: settleTime, do: killed.kill, undo: func() { _ = killed.start() }},
		{name: "disconnect " + cut.proxy.Name, at: floodTime / 2, duration: settleTime, do: cut.disconnect, undo: cut.heal},
	}
}

// flood starts the flooding callers and returns the function that ends them.
func (r *rig) flood(ctx context.Context, out *outcomes) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range floodCallers {
		wg.Go(func() { r.sendReviews(ctx, n, out) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// sendReviews sends reviews one after the other until ctx ends.
func (r *rig) sendReviews(ctx context.Context, n int, out *outcomes) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1000))
	load := r.workload()
	client := newCallerClient()
	for count := 0; ctx.Err() == nil; count++ {
		entry := rng.IntN(len(r.entries))
		o := outcome{kind: kindReview, entry: entry, incarnation: r.entries[entry].currentIncarnation(), sent: time.Now()}
		o.request = standin.Request{
			ID: fmt.Sprintf("%d-review-%d-%d", r.opts.Seed, n, count), Host: host, Path: fmt.Sprintf("%s%d-%d", reviewPath, n, count), Key: floodKey,
			Model: model, PromptTokens: 50 + rng.IntN(300), AnswerTokens: load.tokens + rng.IntN(load.tokenSpread), Timeout: load.timeout,
		}
		o.response = o.request.Send(ctx, client, r.entryAddr(entry))
		o.ended, o.abandoned = time.Now(), ctx.Err() != nil
		out.add(o)
		if !o.response.Complete() && !sleep(ctx, requestInterval/2) {
			return
		}
	}
}

// rankShares counts the requests during a flood, and how many of them were served.
type rankShares struct{ asked, served int }

func (s rankShares) share() float64 { return float64(s.served) / float64(max(s.asked, 1)) }

// floodShares counts the requests to model servers that began and ended during the flood and got a response, by kind and in all; those cut
// off with a killed entry say nothing of ranks.
func (c *checker) floodShares() (shares map[requestKind]rankShares, all rankShares) {
	shares = make(map[requestKind]rankShares)
	for _, span := range c.faultSpans {
		if span.name != "flood" {
			continue
		}
		for _, o := range c.outcomes {
			if !o.kind.forModels() || o.abandoned || o.request.Key == unknownKey || o.sent.Before(span.from) || o.ended.After(span.to) ||
				o.response.Err != nil {
				continue
			}
			s := shares[o.kind]
			s.asked++
			all.asked++
			if o.response.Complete() {
				s.served++
				all.served++
			}
			shares[o.kind] = s
		}
	}
	return shares, all
}

// checkRanks checks that during the flood nearly all urgent requests are served, no less often than the others, and that the less urgent
// route does not starve.
func (c *checker) checkRanks() {
	shares, all := c.floodShares()
	urgent, less := shares[kindStream], shares[kindReview]
	c.rankShares = fmt.Sprintf("urgent %d of %d, less urgent %d of %d served", urgent.served, urgent.asked, less.served, less.asked)
	switch {
	case urgent.asked < minRequests || less.asked < minRequests:
		c.reportf("ranks: too few requests: %s", c.rankShares)
	case urgent.share() < 1-rankTolerance:
		c.reportf("ranks: there is room for all urgent requests, but %s", c.rankShares)
	case urgent.share() < less.share()-rankTolerance:
		c.reportf("ranks: the more urgent route is served less often: %s", c.rankShares)
	case less.share() < leastShare*all.share():
		c.reportf("ranks: the less urgent route starves: %s", c.rankShares)
	}
}
