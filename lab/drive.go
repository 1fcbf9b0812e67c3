package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coralstair/coralstair/entry"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/route"
	"github.com/coralstair/coralstair/stricthttp"
)

// Load patterns of a drive experiment.
const (
	BurstNone     = "none"
	BurstRoster   = "roster"
	BurstDeadline = "deadline"
)

// Faults of a drive experiment, in addition to FaultStall and FaultOutage.
const (
	FaultKill   = "kill"
	FaultFreeze = "freeze"
	FaultLeave  = "leave"
	FaultLag    = "lag"
)

const (
	driveSlots       = 8
	driveTokenTime   = 5 * time.Millisecond
	longTokens       = 24
	shortTokens      = 4
	shortShare       = 0.4
	driveTimeout     = 2 * time.Second
	drivePlainBoxes  = 2
	driveWeightsSize = 1 << 20
	bigTeamFactor    = 20
	burstFactor      = 5
	calibrationTime  = 3 * time.Second
)

// DriveConfig configures a drive experiment.
type DriveConfig struct {
	Entries, Boxes int
	// RPS is the offered load in requests per second; a Load above 0 replaces it by that multiple of the capacity.
	RPS       float64
	Load      float64
	Duration  time.Duration
	Teams     int
	OnceShare float64
	Burst     string
	Faults    []string
	Policy    string
	Seed      uint64
}

// DriveResult holds the measurements of a drive experiment.
type DriveResult struct {
	Policy           string  `json:"policy"`
	Faults           string  `json:"faults"`
	Seed             uint64  `json:"seed"`
	Sent             int     `json:"sent"`
	Answered         int     `json:"answered"`
	RefusedNotRun    int     `json:"refused_not_run"`
	Unknown          int     `json:"unknown"`
	WrongAnswers     int     `json:"wrong_answers"`
	CutAnswers       int     `json:"cut_answers"`
	RepeatedRuns     int     `json:"repeated_runs"`
	RanAfterNotRun   int     `json:"ran_after_not_run"`
	Late             int     `json:"late"`
	GoodputRPS       float64 `json:"goodput_rps"`
	CapacityRPS      float64 `json:"capacity_rps"`
	GoodputRatio     float64 `json:"goodput_ratio"`
	TTFTP50          float64 `json:"ttft_p50_ms"`
	TTFTP95          float64 `json:"ttft_p95_ms"`
	ITLP95           float64 `json:"itl_p95_ms"`
	P99              float64 `json:"p99_ms"`
	RefusalP99       float64 `json:"refusal_p99_ms"`
	SmallTeamGoodput float64 `json:"small_team_goodput_ratio"`
	// The next three are not measured and encode as null.
	AddedP50             *float64 `json:"added_latency_p50_us"`
	AddedP99             *float64 `json:"added_latency_p99_us"`
	LeavingLateWork      *int     `json:"leaving_late_work"`
	TableWritesPerSecond float64  `json:"table_writes_per_s"`
	TableReadsPerSecond  float64  `json:"table_reads_per_s"`
	InvariantsBroken     int      `json:"invariants_broken"`
	// Broken describes each violated invariant.
	Broken []string `json:"broken,omitempty"`
}

// outcome is the result of one request as its caller saw it.
type outcome struct {
	id      string
	team    int
	once    bool
	answer  Answer
	err     error
	took    time.Duration
	arrived time.Duration
}

type drive struct {
	cfg     DriveConfig
	rig     *Rig
	rng     *rand.Rand
	callers [][]*Caller

	mu       sync.Mutex
	outcomes []outcome
	killed   bool
}

// Drive measures requests under open-loop load and faults.
func Drive(ctx context.Context, cfg DriveConfig) (DriveResult, error) {
	rig, err := NewRig(RigConfig{
		Boxes: cfg.Boxes, Sites: 3, Entries: cfg.Entries, PlainBoxes: drivePlainBoxes, Teams: cfg.Teams,
		Slots: driveSlots, TokenTime: driveTokenTime, Seed: cfg.Seed, Checks: new(invariant.Recorder),
		Picker: newPicker(cfg.Policy, cfg.Seed),
	})
	if err != nil {
		return DriveResult{}, err
	}
	defer rig.Close()
	d := &drive{cfg: cfg, rig: rig, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	if err := d.prepare(ctx); err != nil {
		return DriveResult{}, err
	}
	capacity := d.calibrate(ctx)
	if cfg.Load > 0 {
		d.cfg.RPS = cfg.Load * capacity
	}
	d.outcomes = nil
	reads, writes := rig.Platform.Table.Counts()
	stop := d.startFaults(ctx)
	begin := time.Now()
	d.sendLoad(ctx)
	took := time.Since(begin)
	stop()
	readsAfter, writesAfter := rig.Platform.Table.Counts()
	result := d.summarize(capacity, took)
	result.TableReadsPerSecond = float64(readsAfter-reads) / took.Seconds()
	result.TableWritesPerSecond = float64(writesAfter-writes) / took.Seconds()
	return result, nil
}

// prepare declares the services and waits until all boxes serve.
func (d *drive) prepare(ctx context.Context) error {
	if !d.rig.Wait(20*time.Second, func() bool { return d.rig.Do(ctx, "create fleet "+RigFleet) == nil }) {
		return fmt.Errorf("the entries did not start")
	}
	digest, manifest, err := d.rig.Publish(ctx, "v1", driveWeightsSize, driveWeightsSize/16, d.cfg.Seed)
	if err != nil {
		return err
	}
	if err := d.rig.Do(ctx,
		fmt.Sprintf("create service %s in %s kind model replicas %d", RigService, RigFleet, d.cfg.Boxes),
		fmt.Sprintf("create service %s in %s kind plain replicas %d", RigLedger, RigFleet, drivePlainBoxes),
		fmt.Sprintf("declare version v1 of %s in %s digest %s", RigService, RigFleet, digest),
	); err != nil {
		return err
	}
	for team := range max(1, d.cfg.Teams) {
		var callers []*Caller
		for e := range d.rig.Entries {
			caller := d.rig.Caller(team, e)
			caller.HTTP = pooledClient(nil)
			caller.HTTP.Transport.(*stricthttp.Transport).MaxIdleConnsPerHost = 1000
			callers = append(callers, caller)
		}
		d.callers = append(d.callers, callers)
	}
	ready := func() bool { return d.rig.CountServing(manifest.Whole.String()) == d.cfg.Boxes && d.allReported() }
	if !d.rig.Wait(2*time.Minute, ready) {
		return fmt.Errorf("not all boxes serve the first version")
	}
	return nil
}

// allReported reports whether every entry has a serving report from each of its boxes.
func (d *drive) allReported() bool {
	for _, e := range d.rig.Entries {
		for _, report := range e.daemon.Boxes() {
			if report.State != "serving" {
				return false
			}
		}
	}
	return true
}

// calibrate measures the capacity in requests per second for the request mix, with one closed-loop caller per slot.
func (d *drive) calibrate(ctx context.Context) float64 {
	var wg sync.WaitGroup
	deadline := time.Now().Add(calibrationTime)
	begin := time.Now()
	for worker := range d.cfg.Boxes * driveSlots {
		rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(worker)+1))
		wg.Go(func() {
			for n := 0; time.Now().Before(deadline); n++ {
				d.chat(ctx, fmt.Sprintf("calibrate-%d-%d", worker, n), 0, worker%len(d.rig.Entries), randomTokens(rng), time.Now(), 0)
			}
		})
	}
	wg.Wait()
	answered := 0
	for _, o := range d.outcomes {
		if o.err == nil && o.answer.Status == http.StatusOK {
			answered++
		}
	}
	return float64(answered) / time.Since(begin).Seconds()
}

// sendLoad sends open-loop load: Poisson arrivals that do not wait for earlier responses.
func (d *drive) sendLoad(ctx context.Context) {
	var sent sync.WaitGroup
	begin := time.Now()
	at := time.Duration(0)
	for n := 0; at < d.cfg.Duration && ctx.Err() == nil; n++ {
		at += time.Duration(d.rng.ExpFloat64() / d.rateAt(at) * float64(time.Second))
		time.Sleep(time.Until(begin.Add(at)))
		id := fmt.Sprintf("r-%d-%d", d.cfg.Seed, n)
		team, entryIndex, tokens := d.randomTeam(), d.rng.IntN(len(d.rig.Entries)), randomTokens(d.rng)
		once := d.rng.Float64() < d.cfg.OnceShare
		arrived := at
		sent.Go(func() {
			if once {
				d.submit(ctx, id, team, entryIndex, arrived)
				return
			}
			d.chat(ctx, id, team, entryIndex, tokens, begin.Add(arrived), arrived)
		})
	}
	sent.Wait()
}

// rateAt returns the offered load in requests per second at a time since the start.
func (d *drive) rateAt(at time.Duration) float64 {
	progress := float64(at) / float64(d.cfg.Duration)
	switch {
	case d.cfg.Burst == BurstRoster && progress > 0.4 && progress < 0.6:
		return d.cfg.RPS * burstFactor
	case d.cfg.Burst == BurstDeadline:
		return d.cfg.RPS * (0.5 + 2*progress)
	default:
		return d.cfg.RPS
	}
}

// randomTeam picks a team; the first sends as much as bigTeamFactor others together.
func (d *drive) randomTeam() int {
	others := max(1, d.cfg.Teams) - 1
	n := d.rng.IntN(bigTeamFactor + others)
	if n < bigTeamFactor {
		return 0
	}
	return n - bigTeamFactor + 1
}

func (d *drive) chat(ctx context.Context, id string, team, entryIndex, tokens int, due time.Time, arrived time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 3*driveTimeout)
	defer cancel()
	call := ChatCall{Service: RigService, Prompt: id, MaxTokens: tokens, Stream: tokens > shortTokens, ID: id, Timeout: driveTimeout}
	answer, err := d.callers[team][entryIndex].Chat(ctx, call)
	d.addOutcome(outcome{id: id, team: team, answer: answer, err: err, took: time.Since(due), arrived: arrived})
}

func (d *drive) submit(ctx context.Context, id string, team, entryIndex int, arrived time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 3*driveTimeout)
	defer cancel()
	begin := time.Now()
	call := ChatCall{ID: id, IdempotencyKey: id, Timeout: driveTimeout}
	answer, err := d.callers[team][entryIndex].Plain(ctx, RigLedger, "/submit", []byte(id), call)
	if err != nil || answer.Outcome == "unknown" {
		// The outcome is unknown: retry at another entry with the same idempotency key.
		retried, retryErr := d.callers[team][(entryIndex+1)%len(d.rig.Entries)].Plain(ctx, RigLedger, "/submit", []byte(id), call)
		if retryErr == nil {
			answer, err = retried, nil
		}
	}
	d.addOutcome(outcome{id: id, team: team, once: true, answer: answer, err: err, took: time.Since(begin), arrived: arrived})
}

func (d *drive) addOutcome(o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, o)
}

func (d *drive) hasFault(fault string) bool {
	for _, configured := range d.cfg.Faults {
		if configured == fault {
			return true
		}
	}
	return false
}

// startFaults schedules the configured faults; the returned function stops them.
func (d *drive) startFaults(ctx context.Context) func() {
	at := func(share float64) time.Duration { return time.Duration(share * float64(d.cfg.Duration)) }
	var timers []*time.Timer
	schedule := func(share float64, do func()) { timers = append(timers, time.AfterFunc(at(share), do)) }
	boxes := d.rig.Boxes
	if d.hasFault(FaultKill) {
		d.killed = true
		schedule(0.3, func() { boxes[0].Kill() })
		schedule(0.6, func() { _ = boxes[0].Start() })
		plain := boxes[d.cfg.Boxes]
		schedule(0.4, func() { plain.Kill() })
		schedule(0.7, func() { _ = plain.Start() })
	}
	if d.hasFault(FaultStall) {
		schedule(0.2, func() { boxes[1%d.cfg.Boxes].Link.Stall(time.Second) })
		schedule(0.5, func() { boxes[d.cfg.Boxes].Link.Stall(time.Second) })
	}
	if d.hasFault(FaultFreeze) {
		schedule(0.4, func() { boxes[2%d.cfg.Boxes].Link.Stall(at(1)) })
	}
	if d.hasFault(FaultLeave) {
		schedule(0.35, func() { boxes[3%d.cfg.Boxes].Leave(ctx) })
		schedule(0.75, func() { _ = boxes[3%d.cfg.Boxes].Start() })
	}
	if d.hasFault(FaultOutage) {
		d.rig.Platform.Table.Faults.SetUnavailable(true)
	}
	if d.hasFault(FaultLag) {
		d.rig.Platform.Live.Faults.SetUnavailable(true)
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
		d.rig.Platform.Table.Faults.SetUnavailable(false)
		d.rig.Platform.Live.Faults.SetUnavailable(false)
	}
}

func randomTokens(rng *rand.Rand) int {
	if rng.Float64() < shortShare {
		return shortTokens
	}
	return longTokens
}

// newPicker returns a constructor for the policy's picker; nil selects the entry's default.
func newPicker(policy string, seed uint64) func() entry.Picker {
	switch policy {
	case "roundrobin":
		return func() entry.Picker { return new(roundRobin) }
	case "random":
		return func() entry.Picker {
			rng := rand.New(rand.NewPCG(seed, seed+1))
			return &randomPicker{rng: rng}
		}
	default:
		return nil
	}
}

type roundRobin struct {
	mu   sync.Mutex
	last string
}

// Pick returns the candidate with the next higher ID after the last pick, wrapping around.
func (p *roundRobin) Pick(candidates []route.Candidate) (route.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first, next route.Candidate
	for _, c := range candidates {
		if first.ID == "" || c.ID < first.ID {
			first = c
		}
		if c.ID > p.last && (next.ID == "" || c.ID < next.ID) {
			next = c
		}
	}
	if next.ID == "" {
		next = first
	}
	p.last = next.ID
	return next, next.ID != ""
}

type randomPicker struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// Pick returns a random candidate.
func (p *randomPicker) Pick(candidates []route.Candidate) (route.Candidate, bool) {
	if len(candidates) == 0 {
		return route.Candidate{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return candidates[p.rng.IntN(len(candidates))], true
}

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}
