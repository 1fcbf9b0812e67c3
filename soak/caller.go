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
)

const (
	askEvery   = 60 * time.Millisecond
	probeEvery = 150 * time.Millisecond
	readyEvery = 200 * time.Millisecond
	patience   = 3 * time.Second
	// leaveShare of the callers' requests are given up early.
	leaveShare = 0.04
	// unknownShare of the requests carry a key that no configuration holds.
	unknownShare = 0.02
)

// kind is what may be repeated of a request.
type kind string

const (
	kindStream kind = "stream"
	kindOnce   kind = "once"
	kindSafe   kind = "safe"
	kindProbe  kind = "probe"
)

// outcome is one request as its caller saw it.
type outcome struct {
	ask    standin.Ask
	kind   kind
	entry  int
	life   int
	sent   time.Time
	ended  time.Time
	left   bool
	answer standin.Answer
	// revision is that of the route that a probe took.
	revision int64
}

// outcomes collects what all callers saw.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (o *outcomes) add(one outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, one)
}

func (o *outcomes) list() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]outcome(nil), o.all...)
}

// balancer knows which entries take requests: those that answered one of its last two questions.
type balancer struct {
	rig   *rig
	mu    sync.Mutex
	miss  []int
	turns *rand.Rand
}

func newBalancer(r *rig) *balancer {
	return &balancer{rig: r, miss: make([]int, len(r.entries)), turns: rand.New(rand.NewPCG(r.opts.Seed, 1))}
}

// serve asks all entries until ctx ends.
func (b *balancer) serve(ctx context.Context) {
	client := &http.Client{Timeout: readyEvery}
	for tick(ctx, readyEvery) {
		for i := range b.rig.entries {
			resp, err := client.Get("http://" + b.rig.readyAt(i) + "/ready")
			good := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			if b.miss[i]++; good {
				b.miss[i] = 0
			}
			b.mu.Unlock()
		}
	}
}

// pick returns an entry that takes requests; any when none does.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.turns.IntN(len(b.miss))
	for i := range b.miss {
		if entry := (from + i) % len(b.miss); b.miss[entry] < 2 {
			return entry
		}
	}
	return from
}

// takes reports whether an entry takes requests.
func (b *balancer) takes(entry int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.miss[entry] < 2
}

func tick(ctx context.Context, every time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(every):
		return true
	}
}

// caller asks one request after another, and keeps its connection until that ends.
type caller struct {
	rig    *rig
	n      int
	b      *balancer
	out    *outcomes
	turns  *rand.Rand
	client *http.Client
	entry  int
}

func newCaller(r *rig, n int, b *balancer, out *outcomes) *caller {
	return &caller{rig: r, n: n, b: b, out: out, turns: rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+100)), entry: -1}
}

func (c *caller) serve(ctx context.Context) {
	for count := 0; tick(ctx, time.Duration(float64(askEvery)*(0.5+c.turns.Float64()))); count++ {
		if c.entry < 0 || c.turns.IntN(20) == 0 {
			c.connect()
		}
		if answer := c.ask(ctx, count); answer.Cut != nil || c.rig.opts.planned != nil && answer.Closes {
			c.entry = -1
		}
	}
}

// connect takes a new connection to an entry.
func (c *caller) connect() {
	c.entry = c.b.pick()
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.client = newCallerClient()
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
}

// ask makes one request.
func (c *caller) ask(ctx context.Context, count int) standin.Answer {
	size := c.rig.size()
	o := outcome{entry: c.entry, life: c.rig.entries[c.entry].lifeNow()}
	o.ask = standin.Ask{
		ID: fmt.Sprintf("%d-%d-%d", c.rig.opts.Seed, c.n, count), Host: host, Key: goodKey, Wait: size.patience,
	}
	switch turn := c.turns.Float64(); {
	case turn < 0.6:
		o.kind, o.ask.Path, o.ask.Model = kindStream, streamPath, model
		o.ask.Prompt, o.ask.Tokens = 50+c.turns.IntN(300), size.tokens+c.turns.IntN(size.spread)
	case turn < 0.85:
		o.kind, o.ask.Path = kindOnce, oncePath
	default:
		o.kind, o.ask.Path = kindSafe, safePath
	}
	o.ask.Path += fmt.Sprintf("%d", count)
	if c.turns.Float64() < unknownShare {
		o.ask.Key = "unknown"
	}
	limit := size.patience + time.Second
	if c.turns.Float64() < leaveShare {
		o.left, limit = true, time.Duration(c.turns.IntN(100))*time.Millisecond
	}
	askCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o.sent = time.Now()
	o.answer = o.ask.Send(askCtx, c.client, c.rig.entryAt(c.entry))
	o.ended = time.Now()
	o.left = o.left && o.answer.Cut != nil || ctx.Err() != nil
	if c.rig.opts.planned != nil && unreached(o.answer.Cut) && !c.b.takes(c.entry) {
		// The entry has left: its callers go to another one.
		return o.answer
	}
	c.out.add(o)
	return o.answer
}

// probe asks one entry again and again for the route that only the newest revision has.
func probe(ctx context.Context, r *rig, entry int, out *outcomes) {
	client := newCallerClient()
	for count := 0; tick(ctx, probeEvery); count++ {
		o := outcome{kind: kindProbe, entry: entry, life: r.entries[entry].lifeNow()}
		o.revision, _ = r.current()
		o.ask = standin.Ask{
			ID: fmt.Sprintf("%d-probe-%d-%d", r.opts.Seed, entry, count), Host: host, Path: revisionPath(o.revision), Wait: time.Second,
		}
		askCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		o.sent = time.Now()
		o.answer = o.ask.Send(askCtx, client, r.entryAt(entry))
		o.ended = time.Now()
		o.left = ctx.Err() != nil
		cancel()
		if o.life == r.entries[entry].lifeNow() {
			out.add(o)
		}
	}
}
