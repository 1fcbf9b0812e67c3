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

// Policies of a rollout experiment: PolicySwarm is the one under test, the others are baselines.
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

// corruptShare is the fraction of chunks that a faulty box corrupts.
const corruptShare = 0.1

// RolloutConfig configures a rollout experiment; sizes are in bytes.
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
	// Progress, if set, is called with each sample.
	Progress func(Sample)
}

// Sample is the state of an experiment at one time.
type Sample struct {
	At      time.Duration
	Serving int
	// Chunks is the fraction of chunks held, over all boxes, from 0 to 1.
	Chunks      float64
	OriginBytes int64
}

// RolloutResult holds the measurements of a rollout experiment; copies are multiples of the model's size.
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

// LowerBound returns the minimum time in which n boxes can receive the model. Each received copy uses two links, the
// receiver's and the sender's: 2n copies in all. Per window the links carry n·boxCopies + originCopies.
func LowerBound(n int, window time.Duration, originCopies, boxCopies float64) time.Duration {
	work := 2 * float64(n)
	perWindow := float64(n)*boxCopies + originCopies
	return time.Duration(work / perWindow * float64(window))
}

type rollout struct {
	cfg       RolloutConfig
	rig       *Rig
	startedAt time.Time
	result    RolloutResult
	live      liveLoad
	killed    map[string]bool

	mu     sync.Mutex
	digest string
}

// Rollout measures how a new version reaches all boxes.
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
	x := &rollout{cfg: cfg, rig: rig, killed: make(map[string]bool)}
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

// swarmParams scales the policy's delays with the window, as an operator's settings would.
func swarmParams(cfg RolloutConfig) swarm.Params {
	return swarm.Params{
		RequestTimeout: max(cfg.Window/20, 500*time.Millisecond),
		RankDelay:      max(cfg.Window/20, 300*time.Millisecond),
	}
}

func (x *rollout) prepare(ctx context.Context) error {
	cfg := x.cfg
	ready := func() bool {
		return x.rig.Do(ctx, "create fleet "+RigFleet) == nil
	}
	if !x.rig.Wait(20*time.Second, ready) {
		return fmt.Errorf("the entries did not start")
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
		if !x.rig.Wait(time.Minute, func() bool { return x.rig.CountServing(x.declaredDigest()) == cfg.Boxes }) {
			return fmt.Errorf("not all boxes serve the first version")
		}
	}
	x.result = RolloutResult{
		Boxes: cfg.Boxes, Sites: cfg.Sites, SizeBytes: cfg.Size, Policy: cfg.Policy, Prefer: string(cfg.Prefer),
		Seed: cfg.Seed, Faults: strings.Join(cfg.Faults, ","),
		TimeBound: LowerBound(cfg.Boxes, cfg.Window, cfg.OriginCopies, cfg.BoxCopies).Seconds(),
	}
	perSecond := float64(cfg.Size) / cfg.Window.Seconds()
	for _, b := range x.rig.Boxes {
		b.Link.SetRate(cfg.BoxCopies * perSecond)
		if cfg.Live > 0 {
			b.Link.UsePacketSize()
		}
	}
	x.rig.Platform.Objects.SetRate(cfg.OriginCopies * perSecond)
	return nil
}

// declare publishes weights and declares them as a version.
func (x *rollout) declare(ctx context.Context, name string, size int64, seed uint64) error {
	digest, manifest, err := x.rig.Publish(ctx, name, size, x.cfg.ChunkSize, seed)
	if err != nil {
		return err
	}
	x.live.addPublished(manifest.Whole.String())
	statement := fmt.Sprintf("declare version %s of %s in %s digest %s", name, RigService, RigFleet, digest)
	if err := x.rig.Do(ctx, statement); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.digest = manifest.Whole.String()
	return nil
}

// declaredDigest returns the digest of the weights declared last.
func (x *rollout) declaredDigest() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.digest
}

func (x *rollout) run(ctx context.Context) error {
	if x.cfg.Live > 0 {
		x.live.runFor(x.rig, x.cfg.Live, x.cfg.Window/2, &x.live.idle)
	}
	before := x.linkBytes()
	downloadedBefore := x.rig.Platform.Objects.DownloadedBytes()
	if err := x.declare(ctx, "v1", x.cfg.Size, x.cfg.Seed); err != nil {
		return err
	}
	x.startedAt = time.Now()
	stop := x.startLive()
	stopFaults := x.startFaults(ctx)
	x.sample(ctx, downloadedBefore)
	stopFaults()
	stop()
	after := x.linkBytes()
	for id, bytes := range after {
		x.result.MaxBoxLinkCopies = max(x.result.MaxBoxLinkCopies, float64(bytes-before[id])/float64(x.cfg.Size))
	}
	x.result.OriginCopies = float64(x.rig.Platform.Objects.DownloadedBytes()-downloadedBefore) / float64(x.cfg.Size)
	return nil
}

// sample records a Sample per poll interval until all boxes that were not killed serve.
func (x *rollout) sample(ctx context.Context, downloadedBefore int64) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && time.Since(x.startedAt) < x.cfg.Limit {
		<-ticker.C
		serving := x.rig.CountServing(x.declaredDigest())
		at := time.Since(x.startedAt)
		sample := Sample{At: at, Serving: serving, Chunks: x.heldFraction(), OriginBytes: x.rig.Platform.Objects.DownloadedBytes() - downloadedBefore}
		x.result.Samples = append(x.result.Samples, sample)
		if x.cfg.Progress != nil {
			x.cfg.Progress(sample)
		}
		x.recordTimes(serving, at)
		if serving >= x.cfg.Boxes-len(x.killed) {
			x.result.AllServing = true
			return
		}
	}
}

// heldFraction returns the fraction of chunks held, over all boxes.
func (x *rollout) heldFraction() float64 {
	var have, chunks int
	for _, b := range x.rig.Boxes {
		progress := b.Daemon().Transfer().Progress()
		have += progress.Have
		chunks += progress.Chunks
	}
	return float64(have) / float64(max(1, chunks))
}

func (x *rollout) recordTimes(serving int, at time.Duration) {
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
		x.result.WastedChunkBytes += b.Daemon().Transfer().DiscardedBytes()
		x.result.CrossSiteCopies += float64(progress.CrossBytes) / float64(x.cfg.Size)
		in, out := b.Link.Bytes()
		control += float64(in+out) - float64(progress.OriginBytes+progress.PeerBytes+progress.GivenBytes)
	}
	x.result.ControlBytesPerS = control / float64(len(x.rig.Boxes)) / max(x.result.TimeToN, 1)
	x.result.InvariantsBroken = len(x.rig.Checks.Violations())
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

func (x *rollout) hasFault(fault string) bool { return slices.Contains(x.cfg.Faults, fault) }

// startFaults schedules the configured faults; the returned function stops them.
func (x *rollout) startFaults(ctx context.Context) func() {
	boxes := x.rig.Boxes
	at := func(share float64) time.Duration { return time.Duration(share * float64(x.cfg.Window)) }
	var timers []*time.Timer
	schedule := func(share float64, do func()) { timers = append(timers, time.AfterFunc(at(share), do)) }
	if x.hasFault(FaultCorrupt) {
		for i := 0; i < len(boxes); i += 10 {
			boxes[i].Link.SetCorrupt(corruptShare, x.cfg.ChunkSize)
		}
	}
	if x.hasFault(FaultStall) {
		for i := 3; i < len(boxes); i += 20 {
			schedule(0.1+0.5*float64(i)/float64(len(boxes)), func() { boxes[i].Link.Stall(x.cfg.Window / 10) })
		}
	}
	if x.hasFault(FaultDie) {
		for i := 7; i < len(boxes); i += 50 {
			x.killed[boxes[i].ID] = true
			schedule(0.3, func() {
				boxes[i].Kill()
				x.rig.Platform.Live.Remove(boxes[i].ID)
			})
		}
	}
	if x.hasFault(FaultCut) {
		for i := 5; i < len(boxes); i += 10 {
			schedule(0.2, func() { boxes[i].Link.SetDown(true) })
			schedule(0.3, func() { boxes[i].Link.SetDown(false) })
		}
	}
	if x.hasFault(FaultOutage) {
		x.rig.Platform.Table.Faults.SetUnavailable(true)
		schedule(2, func() { x.rig.Platform.Table.Faults.SetUnavailable(false) })
	}
	if x.hasFault(FaultNewVersion) {
		schedule(0.25, func() {
			if err := x.declare(ctx, "v2", x.cfg.Size, x.cfg.Seed+1); err == nil {
				x.result.Faults += " (new version at a quarter of the window)"
			}
		})
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
		x.rig.Platform.Table.Faults.SetUnavailable(false)
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

// liveLoad sends small chat requests before and during a rollout and checks the answers.
type liveLoad struct {
	mu               sync.Mutex
	idle             hdrhistogram.Histogram
	busy             hdrhistogram.Histogram
	requests         atomic.Int64
	failed           atomic.Int64
	mixed            atomic.Int64
	partial          atomic.Int64
	publishedDigests sync.Map
}

// addPublished records a published digest; an answer with any other digest came from partial weights.
func (l *liveLoad) addPublished(digest string) { l.publishedDigests.Store(digest, true) }

const (
	liveTokens       = 8
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
	liveTimeout      = time.Minute
	p99              = 99
	microsPerMilli   = 1000
)

func (l *liveLoad) runFor(rig *Rig, perSecond float64, d time.Duration, into *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	l.runUntil(ctx, rig, perSecond, into)
}

func (l *liveLoad) runUntil(ctx context.Context, rig *Rig, perSecond float64, into *hdrhistogram.Histogram) {
	l.mu.Lock()
	*into = *hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
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
		sent.Go(func() { l.sendOne(caller, n, into) })
	}
}

func (l *liveLoad) sendOne(caller *Caller, n int64, into *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
	defer cancel()
	id := fmt.Sprintf("live-%d", n)
	begin := time.Now()
	answer, err := caller.Chat(ctx, ChatCall{Service: RigService, Prompt: id, MaxTokens: liveTokens, Stream: n%2 == 0, ID: id})
	switch {
	case isWrongAnswer(err):
		l.mixed.Add(1)
	case err != nil || answer.Status != 200:
		l.failed.Add(1)
	default:
		if _, published := l.publishedDigests.Load(answer.Digest); !published {
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
