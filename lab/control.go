package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/problem"
)

// FaultReplace replaces a daemon a second in a control experiment.
const FaultReplace = "replace"

const (
	controlLimit = 30 * time.Second
	controlTeams = 50
)

// ControlConfig says what a control experiment does.
type ControlConfig struct {
	Boxes, Sites, Entries int
	ChangesPerMinute      float64
	Duration              time.Duration
	Faults                []string
	Seed                  uint64
}

// ControlResult is what a control experiment measured.
type ControlResult struct {
	Boxes             int     `json:"boxes"`
	Sites             int     `json:"sites"`
	Entries           int     `json:"entries"`
	Faults            string  `json:"faults"`
	Changes           int     `json:"changes"`
	Refused           int     `json:"refused"`
	InForceP50        float64 `json:"in_force_p50_ms"`
	InForceP99        float64 `json:"in_force_p99_ms"`
	InForceMax        float64 `json:"in_force_max_ms"`
	Reverted          int     `json:"reverted"`
	LostAccepted      int     `json:"lost_accepted"`
	FalseAccepted     int     `json:"false_accepted"`
	TableReads        float64 `json:"table_reads_per_s"`
	TableWrites       float64 `json:"table_writes_per_s"`
	TableReadsAtStart float64 `json:"table_reads_at_start_peak"`
	ControlBytes      float64 `json:"control_bytes_per_s_per_daemon"`
	ControlCPU        float64 `json:"control_cpu_percent_per_daemon"`
	ControlRSS        float64 `json:"control_rss_mb_per_daemon"`
	InvariantsBroken  int     `json:"invariants_broken"`
}

// control is a running experiment.
type control struct {
	cfg      ControlConfig
	rig      *Rig
	rng      *rand.Rand
	accepted []string
	refused  []string
	newest   map[string]fleet.Revision
	result   ControlResult
}

// Control runs one experiment: decisions are made again and again, and each box is watched until it has them.
func Control(ctx context.Context, cfg ControlConfig) (ControlResult, error) {
	rig, err := NewRig(RigConfig{Boxes: cfg.Boxes, Sites: cfg.Sites, Entries: cfg.Entries, Seed: cfg.Seed, Checks: new(invariant.Recorder)})
	if err != nil {
		return ControlResult{}, err
	}
	defer rig.Close()
	x := &control{
		cfg: cfg, rig: rig, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), newest: make(map[string]fleet.Revision),
		result: ControlResult{Boxes: cfg.Boxes, Sites: cfg.Sites, Entries: cfg.Entries, Faults: strings.Join(cfg.Faults, ",")},
	}
	if err := x.prepare(ctx); err != nil {
		return ControlResult{}, err
	}
	if err := x.run(ctx); err != nil {
		return ControlResult{}, err
	}
	return x.result, x.audit(ctx)
}

// prepare waits until every box has the first configuration, and notes the peak of reads meanwhile.
func (x *control) prepare(ctx context.Context) error {
	reads, _ := x.rig.Platform.Table.Counts()
	begin := time.Now()
	if !x.rig.Wait(controlLimit, func() bool { return x.rig.Do(ctx, "create fleet "+RigFleet) == nil }) {
		return errors.New("the rig did not come up")
	}
	if !x.rig.Wait(controlLimit, func() bool { return x.behind(1) == 0 }) {
		return errors.New("not all boxes have the first configuration")
	}
	after, _ := x.rig.Platform.Table.Counts()
	x.result.TableReadsAtStart = float64(after-reads) / max(1, time.Since(begin).Seconds())
	return nil
}

func (x *control) run(ctx context.Context) error {
	stop := x.startFaults()
	defer stop()
	latencies := histogram()
	reads, writes := x.rig.Platform.Table.Counts()
	bytes, cpu, begin := x.bytes(), processorTime(), time.Now()
	for ctx.Err() == nil && time.Since(begin) < x.cfg.Duration {
		revision, ok := x.decide(ctx)
		if ok {
			accepted := time.Now()
			if !x.rig.Wait(controlLimit, func() bool { return x.behind(revision) == 0 }) {
				return fmt.Errorf("revision %d is not in force on %d boxes after %s", revision, x.behind(revision), controlLimit)
			}
			_ = latencies.RecordValue(max(1, time.Since(accepted).Microseconds()))
		}
		pause := time.Duration(float64(time.Minute) / x.cfg.ChangesPerMinute)
		time.Sleep(pause/2 + time.Duration(x.rng.Int64N(int64(pause))))
	}
	seconds := time.Since(begin).Seconds()
	readsAfter, writesAfter := x.rig.Platform.Table.Counts()
	daemons := float64(x.cfg.Boxes + x.cfg.Entries)
	x.result.InForceP50, x.result.InForceP99 = millis(latencies, p50), millis(latencies, p99)
	x.result.InForceMax = float64(latencies.Max()) / microsPerMilli
	x.result.TableReads, x.result.TableWrites = float64(readsAfter-reads)/seconds, float64(writesAfter-writes)/seconds
	x.result.ControlBytes = float64(x.bytes()-bytes) / seconds / float64(x.cfg.Boxes)
	x.result.ControlCPU = 100 * (processorTime() - cpu).Seconds() / seconds / daemons
	x.result.ControlRSS = residentMB() / daemons
	x.result.InvariantsBroken = len(x.rig.Checks.Broken())
	return nil
}

// decide makes one decision and returns its revision; ok is false when it was not accepted.
func (x *control) decide(ctx context.Context) (fleet.Revision, bool) {
	text := fmt.Sprintf("set concurrency of team team-%d in %s to %d", x.rng.IntN(controlTeams), RigFleet, 1+x.rng.IntN(1000000))
	result, err := x.rig.Client().Do(ctx, text, 0)
	var answered problem.Problem
	switch {
	case err == nil && result.Message == "accepted":
		x.accepted = append(x.accepted, text)
		x.result.Changes++
		return result.Revision, true
	case errors.As(err, &answered) && answered.Outcome == "not-run":
		x.refused = append(x.refused, text)
	}
	x.result.Refused++
	return 0, false
}

// behind counts the running boxes that have not yet a revision, and notes each that went back.
func (x *control) behind(revision fleet.Revision) int {
	n := 0
	for _, b := range x.rig.Boxes {
		daemon := b.Daemon()
		key := fmt.Sprintf("%p", daemon)
		seen := daemon.Heartbeat().Revision
		if seen < x.newest[key] {
			x.result.Reverted++
		}
		x.newest[key] = max(x.newest[key], seen)
		if seen < revision {
			n++
		}
	}
	return n
}

// audit compares what operators were told with the history.
func (x *control) audit(ctx context.Context) error {
	x.rig.Platform.Table.Faults.SetOut(false)
	changes, err := ledger.New(x.rig.table()).History(ctx, RigFleet, len(x.accepted)+len(x.refused)+10)
	if err != nil {
		return err
	}
	recorded := make([]string, 0, len(changes))
	for _, change := range changes {
		recorded = append(recorded, change.Statement)
	}
	for _, text := range x.accepted {
		if !slices.Contains(recorded, text) {
			x.result.LostAccepted++
		}
	}
	for _, text := range x.refused {
		if slices.Contains(recorded, text) {
			x.result.FalseAccepted++
		}
	}
	return nil
}

// startFaults causes the faults asked for; the function it returns ends them.
func (x *control) startFaults() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			x.cause(n)
		}
	}()
	return func() {
		cancel()
		<-done
		x.rig.Platform.Table.Faults.SetOut(false)
	}
}

// cause causes what is due in second n.
func (x *control) cause(n int) {
	box := x.rig.Boxes[n%len(x.rig.Boxes)]
	if slices.Contains(x.cfg.Faults, FaultReplace) {
		box.Kill()
		_ = box.Start()
	}
	if slices.Contains(x.cfg.Faults, FaultOutage) {
		x.rig.Platform.Table.Faults.SetOut(n%6 >= 4)
	}
	if slices.Contains(x.cfg.Faults, FaultCut) {
		other := x.rig.Boxes[(n+len(x.rig.Boxes)/2)%len(x.rig.Boxes)]
		other.Link.Cut(true)
		time.AfterFunc(500*time.Millisecond, func() { other.Link.Cut(false) })
	}
}

func (x *control) bytes() int64 {
	var total int64
	for _, b := range x.rig.Boxes {
		in, out := b.Link.Bytes()
		total += in + out
	}
	return total
}

// processorTime returns the time that this process has used, stand-ins included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMB returns this process's resident memory in megabytes.
func residentMB() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
