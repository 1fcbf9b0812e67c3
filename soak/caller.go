package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
	"github.com/coralstair/coralstair/stricthttp"
)

const (
	requestInterval = 60 * time.Millisecond
	probeInterval   = 150 * time.Millisecond
	readyInterval   = 200 * time.Millisecond
	callerTimeout   = 3 * time.Second
	// abandonShare is the fraction of requests that callers cancel early.
	abandonShare = 0.04
	// unknownKeyShare is the fraction of requests with an API key that is not configured.
	unknownKeyShare = 0.02
)

// requestKind is the kind of a request, which determines how its outcome is checked.
type requestKind string

const (
	kindStream requestKind = "stream"
	kindUnsafe requestKind = "once"
	kindSafe   requestKind = "safe"
	kindProbe  requestKind = "probe"
	// kindReview requests are streams on the less urgent of two routes to the model servers (Options.Ranks).
	kindReview requestKind = "review"
)

// forModels reports whether requests of the kind go to model servers.
func (k requestKind) forModels() bool { return k == kindStream || k == kindReview }

// outcome is one request and its result as the caller observed it.
type outcome struct {
	request     standin.Request
	kind        requestKind
	entry       int
	incarnation int
	sent        time.Time
	ended       time.Time
	abandoned   bool
	response    standin.Response
	// revision is the configuration revision whose route the probe requested.
	revision int64
}

// outcomes collects the results of all callers.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (o *outcomes) add(item outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, item)
}

func (o *outcomes) list() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]outcome(nil), o.all...)
}

// balancer tracks which entries are ready: an entry is out after two failed checks in a row.
type balancer struct {
	rig    *rig
	mu     sync.Mutex
	misses []int
	rng    *rand.Rand
}

func newBalancer(r *rig) *balancer {
	return &balancer{rig: r, misses: make([]int, len(r.entries)), rng: rand.New(rand.NewPCG(r.opts.Seed, 1))}
}

// run polls the readiness of all entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval}
	for sleep(ctx, readyInterval) {
		for i := range b.rig.entries {
			resp, err := client.Get("http://" + b.rig.readyAddr(i) + "/ready")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			if b.misses[i]++; ready {
				b.misses[i] = 0
			}
			b.mu.Unlock()
		}
	}
}

// pick returns a random ready entry, or any entry if none is ready.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.rng.IntN(len(b.misses))
	for i := range b.misses {
		if entry := (from + i) % len(b.misses); b.misses[entry] < 2 {
			return entry
		}
	}
	return from
}

// accepts reports whether the entry is ready.
func (b *balancer) accepts(entry int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[entry] < 2
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// caller sends requests one after another over a connection that it reuses.
type caller struct {
	rig      *rig
	n        int
	balancer *balancer
	outcomes *outcomes
	rng      *rand.Rand
	client   *http.Client
	entry    int
}

func newCaller(r *rig, n int, b *balancer, out *outcomes) *caller {
	return &caller{rig: r, n: n, balancer: b, outcomes: out, rng: rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+100)), entry: -1}
}

func (c *caller) run(ctx context.Context) {
	for count := 0; sleep(ctx, time.Duration(float64(requestInterval)*(0.5+c.rng.Float64()))); count++ {
		if c.entry < 0 || c.rng.IntN(20) == 0 {
			c.connect()
		}
		if response := c.sendRequest(ctx, count); response.Err != nil || c.rig.opts.planned != nil && response.ConnectionClose {
			c.entry = -1
		}
	}
}

// connect opens a new connection to a ready entry.
func (c *caller) connect() {
	c.entry = c.balancer.pick()
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.client = newCallerClient()
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	})}
}

func (c *caller) sendRequest(ctx context.Context, count int) standin.Response {
	load := c.rig.workload()
	o := outcome{entry: c.entry, incarnation: c.rig.entries[c.entry].currentIncarnation()}
	o.request = standin.Request{
		ID: fmt.Sprintf("%d-%d-%d", c.rig.opts.Seed, c.n, count), Host: host, Key: goodKey, Timeout: load.timeout,
	}
	switch p := c.rng.Float64(); {
	case p < 0.6:
		o.kind, o.request.Path, o.request.Model = kindStream, streamPath, model
		o.request.PromptTokens, o.request.AnswerTokens = 50+c.rng.IntN(300), load.tokens+c.rng.IntN(load.tokenSpread)
	case p < 0.85:
		o.kind, o.request.Path = kindUnsafe, unsafePath
	default:
		o.kind, o.request.Path = kindSafe, safePath
	}
	if c.rig.opts.Sites {
		c.addSiteTraits(&o)
	}
	if c.rig.opts.DeadlyParts > 0 && o.kind == kindStream {
		o.request.Parts = []string{templatePart, groupPart(c.n), ownPart(o.request.ID)}
	}
	o.request.Path += fmt.Sprintf("%d", count)
	if c.rng.Float64() < unknownKeyShare {
		o.request.Key = unknownKey
	}
	timeout := load.timeout + time.Second
	if c.rng.Float64() < abandonShare {
		o.abandoned, timeout = true, time.Duration(c.rng.IntN(100))*time.Millisecond
	}
	reqCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o.sent = time.Now()
	o.response = o.request.Send(reqCtx, c.client, c.rig.entryAddr(c.entry))
	o.ended = time.Now()
	o.abandoned = o.abandoned && o.response.Err != nil || ctx.Err() != nil
	if c.rig.opts.planned != nil && dialFailed(o.response.Err) && !c.balancer.accepts(c.entry) {
		// The entry has shut down and the connection was refused; a real caller connects to another one.
		return o.response
	}
	c.outcomes.add(o)
	return o.response
}

// probe polls one entry for the route that only the newest configuration revision has.
func probe(ctx context.Context, r *rig, entry int, out *outcomes) {
	client := newCallerClient()
	for count := 0; sleep(ctx, probeInterval); count++ {
		o := outcome{kind: kindProbe, entry: entry, incarnation: r.entries[entry].currentIncarnation()}
		o.revision, _ = r.current()
		o.request = standin.Request{
			ID: fmt.Sprintf("%d-probe-%d-%d", r.opts.Seed, entry, count), Host: host, Path: revisionPath(o.revision), Timeout: time.Second,
		}
		reqCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		o.sent = time.Now()
		o.response = o.request.Send(reqCtx, client, r.entryAddr(entry))
		o.ended = time.Now()
		o.abandoned = ctx.Err() != nil
		cancel()
		if o.incarnation == r.entries[entry].currentIncarnation() {
			out.add(o)
		}
	}
}
