package lab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/swarm"
)

// Policies of a rollout experiment: the product's, and the baselines.
const (
	PolicySwarm  = "swarm"
	PolicyOrigin = "origin"
	PolicyTree   = "tree"
	PolicyChain  = "chain"
)

// Faults of a rollout experiment.
const (
	FaultCorrupt    = "corrupt"
	FaultStall      = "stall"
	FaultDie        = "die"
	FaultNewVersion = "newversion"
	FaultOutage     = "outage"
	FaultCut        = "cut"
)

// corruptShare is the share of the chunks that a corrupting box damages.
const corruptShare = 0.1

// RolloutConfig says what a rollout experiment does.
type RolloutConfig struct {
	Boxes, Sites int
	Size         int64
	ChunkSize    int64
	OriginCopies float64
	BoxCopies    float64
	Window       time.Duration
	Prefer       fleet.Preference
	Policy       string
	Faults       []string
	Live         float64
	Seed         uint64
	Limit        time.Duration
	// Progress, when set, is told of the experiment's course.
	Progress func(Sample)
}

// Sample is the state of an experiment at one time.
type Sample struct {
	At      time.Duration
	Serving int
	// Chunks is the part of all chunks of all boxes that are held, from 0 to 1.
	Chunks      float64
	OriginBytes int64
}

// RolloutResult is what a rollout experiment measured. Copies are multiples of the model's size.
type RolloutResult struct {
	Boxes            int      `json:"boxes"`
	Sites            int      `json:"sites"`
	SizeBytes        int64    `json:"size_bytes"`
	Policy           string   `json:"policy"`
	Prefer           string   `json:"prefer"`
	Seed             uint64   `json:"seed"`
	Faults           string   `json:"faults"`
	TimeToN          float64  `json:"time_to_n_s"`
	TimeToHalf       float64  `json:"time_to_half_s"`
	TimeToFirst      float64  `json:"time_to_first_s"`
	TimeBound        float64  `json:"time_bound_s"`
	TimeRatio        float64  `json:"time_ratio"`
	OriginCopies     float64  `json:"origin_copies"`
	MaxBoxLinkCopies float64  `json:"max_box_link_copies"`
	WastedChunkBytes int64    `json:"wasted_chunk_bytes"`
	CrossSiteCopies  float64  `json:"cross_site_copies"`
	ChunksRejected   int      `json:"chunks_rejected"`
	LiveRequests     int64    `json:"live_requests"`
	LiveFailed       int64    `json:"live_failed"`
	LiveP99          float64  `json:"live_p99_ms"`
	LiveP99Idle      float64  `json:"live_p99_ms_idle"`
	MixedAnswers     int64    `json:"mixed_answers"`
	PartialServed    int64    `json:"partial_served"`
	AllServing       bool     `json:"all_serving"`
	ControlBytesPerS float64  `json:"control_bytes_per_s_per_box"`
	InvariantsBroken int      `json:"invariants_broken"`
	Samples          []Sample `json:"-"`
}

// Bound returns the least time in which n boxes could have the model. Each copy that a box takes in costs its own
// link one copy, and one copy the link of whoever gives it, a box or the origin: 2n copies of link work in all. In
// the window n boxes' links do n·boxCopies of it and the origin's originCopies.
func Bound(n int, window time.Duration, originCopies, boxCopies float64) time.Duration {
	work := 2 * float64(n)
	perWindow := float64(n)*boxCopies + originCopies
	return time.Duration(work / perWindow * float64(window))
}

// rollout is a running experiment.
type rollout struct {
	cfg    RolloutConfig
	rig    *Rig
	began  time.Time
	result RolloutResult
	live   liveLoad
	dead   map[string]bool

	mu    sync.Mutex
	whole string
}

// Rollout runs one experiment.
func Rollout(ctx context.Context, cfg RolloutConfig) (RolloutResult, error) {
	rig, err := NewRig(RigConfig{
		Boxes: cfg.Boxes, Sites: cfg.Sites, Seed: cfg.Seed, TokenTime: time.Millisecond,
		LinkRate: int64(cfg.BoxCopies * float64(cfg.Size) / cfg.Window.Seconds()),
		Params:   swarmParams(cfg), Checks: new(invariant.Recorder),
	})
	if err != nil {
		return RolloutResult{}, err
	}
	defer rig.Close()
	x := &rollout{cfg: cfg, rig: rig, dead: make(map[string]bool)}
	if err := x.prepare(ctx); err != nil {
		return RolloutResult{}, err
	}
	if cfg.Policy != PolicySwarm {
		return x.baseline(ctx)
	}
	if err := x.run(ctx); err != nil {
		return RolloutResult{}, err
	}
	x.finish()
	return x.result, nil
}

// swarmParams scales the times of the policy with the window, as an operator's settings would.
func swarmParams(cfg RolloutConfig) swarm.Params {
	return swarm.Params{
		Patience: max(cfg.Window/20, 500*time.Millisecond),
		RankWait: max(cfg.Window/20, 300*time.Millisecond),
	}
}

func (x *rollout) prepare(ctx context.Context) error {
	cfg := x.cfg
	ready := func() bool {
		return x.rig.Do(ctx, "create fleet "+RigFleet) == nil
	}
	if !x.rig.Wait(20*time.Second, ready) {
		return fmt.Errorf("the rig did not come up")
	}
	if err := x.rig.Do(ctx,
		fmt.Sprintf("create service %s in %s kind model replicas %d", RigService, RigFleet, cfg.Boxes),
		fmt.Sprintf("set prefer of fleet %s to %s", RigFleet, cfg.Prefer),
		fmt.Sprintf("set rollout-share of service %s in %s to 50", RigService, RigFleet),
	); err != nil {
		return err
	}
	if cfg.Live > 0 {
		if err := x.declare(ctx, "v0", cfg.ChunkSize, cfg.Seed+1000); err != nil {
			return err
		}
		if !x.rig.Wait(time.Minute, func() bool { return x.rig.Serving(x.declared()) == cfg.Boxes }) {
			return fmt.Errorf("the first version is not served everywhere")
		}
	}
	x.result = RolloutResult{
		Boxes: cfg.Boxes, Sites: cfg.Sites, SizeBytes: cfg.Size, Policy: cfg.Policy, Prefer: string(cfg.Prefer),
		Seed: cfg.Seed, Faults: strings.Join(cfg.Faults, ","),
		TimeBound: Bound(cfg.Boxes, cfg.Window, cfg.OriginCopies, cfg.BoxCopies).Seconds(),
	}
	perSecond := float64(cfg.Size) / cfg.Window.Seconds()
	for _, b := range x.rig.Boxes {
		b.Link.SetRate(cfg.BoxCopies * perSecond)
		if cfg.Live > 0 {
			b.Link.SetPackets()
		}
	}
	x.rig.Platform.Objects.SetRate(cfg.OriginCopies * perSecond)
	return nil
}

// declare publishes weights and declares them, or only publishes them for a baseline.
func (x *rollout) declare(ctx context.Context, name string, size int64, seed uint64) error {
	digest, manifest, err := x.rig.Publish(ctx, name, size, x.cfg.ChunkSize, seed)
	if err != nil {
		return err
	}
	x.live.published(manifest.Whole.String())
	statement := fmt.Sprintf("declare version %s of %s in %s digest %s", name, RigService, RigFleet, digest)
	if err := x.rig.Do(ctx, statement); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.whole = manifest.Whole.String()
	return nil
}

// declared returns the digest of the whole weights declared last.
func (x *rollout) declared() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.whole
}

func (x *rollout) run(ctx context.Context) error {
	if x.cfg.Live > 0 {
		x.live.run(x.rig, x.cfg.Live, x.cfg.Window/2, &x.live.idle)
	}
	before := x.linkBytes()
	drawn := x.rig.Platform.Objects.Drawn()
	if err := x.declare(ctx, "v1", x.cfg.Size, x.cfg.Seed); err != nil {
		return err
	}
	x.began = time.Now()
	stop := x.startLive()
	stopFaults := x.startFaults(ctx)
	x.watch(ctx, drawn)
	stopFaults()
	stop()
	after := x.linkBytes()
	for id, bytes := range after {
		x.result.MaxBoxLinkCopies = max(x.result.MaxBoxLinkCopies, float64(bytes-before[id])/float64(x.cfg.Size))
	}
	x.result.OriginCopies = float64(x.rig.Platform.Objects.Drawn()-drawn) / float64(x.cfg.Size)
	return nil
}

// watch samples the boxes until all that live serve.
func (x *rollout) watch(ctx context.Context, drawn int64) {
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for ctx.Err() == nil && time.Since(x.began) < x.cfg.Limit {
		<-ticker.C
		serving := x.rig.Serving(x.declared())
		at := time.Since(x.began)
		sample := Sample{At: at, Serving: serving, Chunks: x.held(), OriginBytes: x.rig.Platform.Objects.Drawn() - drawn}
		x.result.Samples = append(x.result.Samples, sample)
		if x.cfg.Progress != nil {
			x.cfg.Progress(sample)
		}
		x.note(serving, at)
		if serving >= x.cfg.Boxes-len(x.dead) {
			x.result.AllServing = true
			return
		}
	}
}

// held is the part of all chunks that the boxes hold.
func (x *rollout) held() float64 {
	var have, chunks int
	for _, b := range x.rig.Boxes {
		progress := b.Daemon().Transfer().Progress()
		have += progress.Have
		chunks += progress.Chunks
	}
	return float64(have) / float64(max(1, chunks))
}

func (x *rollout) note(serving int, at time.Duration) {
	if serving >= 1 && x.result.TimeToFirst == 0 {
		x.result.TimeToFirst = at.Seconds()
	}
	if serving >= (x.cfg.Boxes+1)/2 && x.result.TimeToHalf == 0 {
		x.result.TimeToHalf = at.Seconds()
	}
	x.result.TimeToN = at.Seconds()
	x.result.TimeRatio = x.result.TimeToN / x.result.TimeBound
}

func (x *rollout) finish() {
	var control float64
	for _, b := range x.rig.Boxes {
		progress := b.Daemon().Transfer().Progress()
		x.result.ChunksRejected += progress.Rejected
		x.result.WastedChunkBytes += b.Daemon().Transfer().Wasted()
		x.result.CrossSiteCopies += float64(progress.CrossBytes) / float64(x.cfg.Size)
		in, out := b.Link.Bytes()
		control += float64(in+out) - float64(progress.OriginBytes+progress.PeerBytes+progress.GivenBytes)
	}
	x.result.ControlBytesPerS = control / float64(len(x.rig.Boxes)) / max(x.result.TimeToN, 1)
	x.result.InvariantsBroken = len(x.rig.Checks.Broken())
	x.live.report(&x.result)
}

func (x *rollout) linkBytes() map[string]int64 {
	bytes := make(map[string]int64)
	for _, b := range x.rig.Boxes {
		in, out := b.Link.Bytes()
		bytes[b.ID] = in + out
	}
	return bytes
}

func (x *rollout) has(fault string) bool { return slices.Contains(x.cfg.Faults, fault) }

// startFaults causes the faults asked for while the rollout runs; the function it returns ends them.
func (x *rollout) startFaults(ctx context.Context) func() {
	boxes := x.rig.Boxes
	at := func(share float64) time.Duration { return time.Duration(share * float64(x.cfg.Window)) }
	var timers []*time.Timer
	later := func(share float64, do func()) { timers = append(timers, time.AfterFunc(at(share), do)) }
	if x.has(FaultCorrupt) {
		for i := 0; i < len(boxes); i += 10 {
			boxes[i].Link.SetCorrupt(corruptShare, x.cfg.ChunkSize)
		}
	}
	if x.has(FaultStall) {
		for i := 3; i < len(boxes); i += 20 {
			later(0.1+0.5*float64(i)/float64(len(boxes)), func() { boxes[i].Link.Stall(x.cfg.Window / 10) })
		}
	}
	if x.has(FaultDie) {
		for i := 7; i < len(boxes); i += 50 {
			x.dead[boxes[i].ID] = true
			later(0.3, func() {
				boxes[i].Kill()
				x.rig.Platform.Live.Remove(boxes[i].ID)
			})
		}
	}
	if x.has(FaultCut) {
		for i := 5; i < len(boxes); i += 10 {
			later(0.2, func() { boxes[i].Link.Cut(true) })
			later(0.3, func() { boxes[i].Link.Cut(false) })
		}
	}
	if x.has(FaultOutage) {
		x.rig.Platform.Table.Faults.SetOut(true)
		later(2, func() { x.rig.Platform.Table.Faults.SetOut(false) })
	}
	if x.has(FaultNewVersion) {
		later(0.25, func() {
			if err := x.declare(ctx, "v2", x.cfg.Size, x.cfg.Seed+1); err == nil {
				x.result.Faults += " (new version at a quarter of the window)"
			}
		})
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
		x.rig.Platform.Table.Faults.SetOut(false)
	}
}

func (x *rollout) startLive() func() {
	if x.cfg.Live <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.live.runUntil(ctx, x.rig, x.cfg.Live, &x.live.busy)
	}()
	return func() {
		cancel()
		<-done
	}
}

// liveLoad sends small chat requests while a rollout runs and checks the answers.
type liveLoad struct {
	mu       sync.Mutex
	idle     hdrhistogram.Histogram
	busy     hdrhistogram.Histogram
	requests atomic.Int64
	failed   atomic.Int64
	mixed    atomic.Int64
	partial  atomic.Int64
	wholes   sync.Map
}

// published notes the digest of whole weights: an answer from any other was given from partial ones.
func (l *liveLoad) published(whole string) { l.wholes.Store(whole, true) }

const (
	liveTokens     = 8
	liveHighest    = int64(time.Minute / time.Microsecond)
	livePrecision  = 3
	liveTimeout    = time.Minute
	p99            = 99
	microsPerMilli = 1000
)

func (l *liveLoad) run(rig *Rig, perSecond float64, d time.Duration, into *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	l.runUntil(ctx, rig, perSecond, into)
}

func (l *liveLoad) runUntil(ctx context.Context, rig *Rig, perSecond float64, into *hdrhistogram.Histogram) {
	l.mu.Lock()
	*into = *hdrhistogram.New(1, liveHighest, livePrecision)
	l.mu.Unlock()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	caller := rig.Caller(0, 0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n := l.requests.Add(1)
		sent.Go(func() { l.one(caller, n, into) })
	}
}

func (l *liveLoad) one(caller *Caller, n int64, into *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
	defer cancel()
	id := fmt.Sprintf("live-%d", n)
	begin := time.Now()
	answer, err := caller.Chat(ctx, ChatCall{Service: RigService, Prompt: id, Tokens: liveTokens, Stream: n%2 == 0, ID: id})
	switch {
	case isWrong(err):
		l.mixed.Add(1)
	case err != nil || answer.Status != 200:
		l.failed.Add(1)
	default:
		if _, whole := l.wholes.Load(answer.Digest); !whole {
			l.partial.Add(1)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = into.RecordValue(max(1, time.Since(begin).Microseconds()))
}

func (l *liveLoad) report(result *RolloutResult) {
	result.LiveRequests, result.LiveFailed, result.MixedAnswers = l.requests.Load(), l.failed.Load(), l.mixed.Load()
	result.PartialServed = l.partial.Load()
	if result.LiveRequests == 0 {
		return
	}
	result.LiveP99 = float64(l.busy.ValueAtQuantile(p99)) / microsPerMilli
	result.LiveP99Idle = float64(l.idle.ValueAtQuantile(p99)) / microsPerMilli
}
