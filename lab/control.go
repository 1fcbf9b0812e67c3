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

// FaultReplace restarts one box daemon per second in a control experiment.
const FaultReplace = "replace"

const (
	controlTimeout = 30 * time.Second
	controlTeams   = 50
)

// ControlConfig configures a control experiment.
type ControlConfig struct {
	Boxes, Sites, Entries int
	ChangesPerMinute      float64
	Duration              time.Duration
	Faults                []string
	Seed                  uint64
}

// ControlResult holds the measurements of a control experiment.
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

type control struct {
	cfg        ControlConfig
	rig        *Rig
	rng        *rand.Rand
	accepted   []string
	refused    []string
	newestSeen map[string]fleet.Revision
	result     ControlResult
}

// Control runs one experiment: it repeatedly changes the configuration and waits until every box has each change.
func Control(ctx context.Context, cfg ControlConfig) (ControlResult, error) {
	rig, err := NewRig(RigConfig{Boxes: cfg.Boxes, Sites: cfg.Sites, Entries: cfg.Entries, Seed: cfg.Seed, Checks: new(invariant.Recorder)})
	if err != nil {
		return ControlResult{}, err
	}
	defer rig.Close()
	x := &control{
		cfg: cfg, rig: rig, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), newestSeen: make(map[string]fleet.Revision),
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

// prepare waits until every box has the first configuration and records the table read rate during start-up.
func (x *control) prepare(ctx context.Context) error {
	reads, _ := x.rig.Platform.Table.Counts()
	begin := time.Now()
	if !x.rig.Wait(controlTimeout, func() bool { return x.rig.Do(ctx, "create fleet "+RigFleet) == nil }) {
		return errors.New("the entries did not start")
	}
	if !x.rig.Wait(controlTimeout, func() bool { return x.countBehind(1) == 0 }) {
		return errors.New("not all boxes have the first configuration")
	}
	after, _ := x.rig.Platform.Table.Counts()
	x.result.TableReadsAtStart = float64(after-reads) / max(1, time.Since(begin).Seconds())
	return nil
}

func (x *control) run(ctx context.Context) error {
	stop := x.startFaults()
	defer stop()
	latencies := newHistogram()
	reads, writes := x.rig.Platform.Table.Counts()
	bytes, cpu, begin := x.linkBytes(), cpuTime(), time.Now()
	for ctx.Err() == nil && time.Since(begin) < x.cfg.Duration {
		revision, ok := x.submitChange(ctx)
		if ok {
			accepted := time.Now()
			if !x.rig.Wait(controlTimeout, func() bool { return x.countBehind(revision) == 0 }) {
				return fmt.Errorf("revision %d is not in force on %d boxes after %s", revision, x.countBehind(revision), controlTimeout)
			}
			_ = latencies.RecordValue(max(1, time.Since(accepted).Microseconds()))
		}
		pause := time.Duration(float64(time.Minute) / x.cfg.ChangesPerMinute)
		time.Sleep(pause/2 + time.Duration(x.rng.Int64N(int64(pause))))
	}
	seconds := time.Since(begin).Seconds()
	readsAfter, writesAfter := x.rig.Platform.Table.Counts()
	daemons := float64(x.cfg.Boxes + x.cfg.Entries)
	x.result.InForceP50, x.result.InForceP99 = quantileMillis(latencies, p50), quantileMillis(latencies, p99)
	x.result.InForceMax = float64(latencies.Max()) / microsPerMilli
	x.result.TableReads, x.result.TableWrites = float64(readsAfter-reads)/seconds, float64(writesAfter-writes)/seconds
	x.result.ControlBytes = float64(x.linkBytes()-bytes) / seconds / float64(x.cfg.Boxes)
	x.result.ControlCPU = 100 * (cpuTime() - cpu).Seconds() / seconds / daemons
	x.result.ControlRSS = residentMB() / daemons
	x.result.InvariantsBroken = len(x.rig.Checks.Violations())
	return nil
}

// submitChange submits one change and returns its revision; ok is false if it was not accepted.
func (x *control) submitChange(ctx context.Context) (fleet.Revision, bool) {
	text := fmt.Sprintf("set concurrency of team team-%d in %s to %d", x.rng.IntN(controlTeams), RigFleet, 1+x.rng.IntN(1000000))
	result, err := x.rig.Client().Do(ctx, text, 0)
	var refusal problem.Problem
	switch {
	case err == nil && result.Message == "accepted":
		x.accepted = append(x.accepted, text)
		x.result.Changes++
		return result.Revision, true
	case errors.As(err, &refusal) && refusal.Outcome == "not-run":
		x.refused = append(x.refused, text)
	}
	x.result.Refused++
	return 0, false
}

// countBehind counts the boxes that have not reached a revision, and adds each decrease of a daemon's revision to the result.
func (x *control) countBehind(revision fleet.Revision) int {
	n := 0
	for _, b := range x.rig.Boxes {
		daemon := b.Daemon()
		key := fmt.Sprintf("%p", daemon)
		seen := daemon.Heartbeat().Revision
		if seen < x.newestSeen[key] {
			x.result.Reverted++
		}
		x.newestSeen[key] = max(x.newestSeen[key], seen)
		if seen < revision {
			n++
		}
	}
	return n
}

// audit compares the outcomes reported to operators with the ledger's history.
func (x *control) audit(ctx context.Context) error {
	x.rig.Platform.Table.Faults.SetUnavailable(false)
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

// startFaults injects the configured faults; the returned function stops them.
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
			x.injectFaults(n)
		}
	}()
	return func() {
		cancel()
		<-done
		x.rig.Platform.Table.Faults.SetUnavailable(false)
	}
}

// injectFaults injects the faults due in second n.
func (x *control) injectFaults(n int) {
	box := x.rig.Boxes[n%len(x.rig.Boxes)]
	if slices.Contains(x.cfg.Faults, FaultReplace) {
		box.Kill()
		_ = box.Start()
	}
	if slices.Contains(x.cfg.Faults, FaultOutage) {
		x.rig.Platform.Table.Faults.SetUnavailable(n%6 >= 4)
	}
	if slices.Contains(x.cfg.Faults, FaultCut) {
		other := x.rig.Boxes[(n+len(x.rig.Boxes)/2)%len(x.rig.Boxes)]
		other.Link.SetDown(true)
		time.AfterFunc(500*time.Millisecond, func() { other.Link.SetDown(false) })
	}
}

func (x *control) linkBytes() int64 {
	var total int64
	for _, b := range x.rig.Boxes {
		in, out := b.Link.Bytes()
		total += in + out
	}
	return total
}

// cpuTime returns the CPU time used by this process, including the fakes.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMB returns this process's resident memory in MiB.
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
