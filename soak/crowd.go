package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/crowd"
	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// crowds clients of crowdSize each are there at a time, each for crowdTime.
	crowds    = 3
	crowdSize = 150
	crowdTime = 1500 * time.Millisecond
	// crowdStream separates the choice of crowds from the plan of faults of the same seed.
	crowdStream = 11
	metricsPort = 9464
	// Limits of daemons where crowds come.
	crowdMemoryMB       = 100
	crowdDescriptors    = 600
	memoryCheckInterval = 200 * time.Millisecond
)

// crowdTarget is a listener with the kinds of clients that come there.
type crowdTarget struct {
	address string
	kinds   map[string]crowd.Kind
}

// crowdTargets returns all listeners of the daemons.
func (r *rig) crowdTargets() []crowdTarget {
	requests := func(path string) map[string]crowd.Kind {
		return crowd.Requests{Host: host, Path: path, AheadPath: "/unknown/"}.Kinds()
	}
	links := requests("/link")
	maps.Copy(links, crowd.Link())
	callers := crowd.Requests{Host: host, Path: unsafePath, AheadPath: "/unknown/", Fields: "X-Key: " + goodKey + "\r\nX-Deadline-Ms: 3000\r\n"}.Kinds()
	var targets []crowdTarget
	for i := range r.entries {
		ip := r.ip(1, i+1)
		targets = append(targets, crowdTarget{r.entryAddr(i), callers}, crowdTarget{r.readyAddr(i), requests("/ready")},
			crowdTarget{hostPort(ip, linkPort), links}, crowdTarget{hostPort(ip, metricsPort), requests("/metrics")})
	}
	for i := range r.boxes {
		ip := r.ip(2, i+1)
		targets = append(targets, crowdTarget{hostPort(ip, boxLinkPort), links}, crowdTarget{hostPort(ip, metricsPort), requests("/metrics")})
	}
	return targets
}

// startCrowds lets clients that do not keep to the limits come to all listeners in turn until ctx ends.
func (r *rig) startCrowds(ctx context.Context, wg *sync.WaitGroup) {
	targets := r.crowdTargets()
	for n := range crowds {
		rng := rand.New(rand.NewPCG(r.opts.Seed, crowdStream+uint64(n)))
		wg.Go(func() {
			for ctx.Err() == nil {
				target := targets[rng.IntN(len(targets))]
				names := slices.Sorted(maps.Keys(target.kinds))
				c := crowd.Start(target.address, target.kinds[names[rng.IntN(len(names))]], crowdSize)
				sleep(ctx, crowdTime)
				c.Stop()
			}
		})
	}
	wg.Go(func() {
		for sleep(ctx, memoryCheckInterval) {
			r.checkMemory()
		}
	})
}

// checkMemory records daemons that hold more memory than they may.
func (r *rig) checkMemory() {
	for _, p := range r.daemons() {
		if megabytes := p.residentMB(); megabytes > crowdMemoryMB {
			r.mu.Lock()
			r.excesses[p.name] = max(r.excesses[p.name], megabytes)
			r.mu.Unlock()
		}
	}
}

// withCrowdLimits lowers the limits of a daemon where crowds come.
func (r *rig) withCrowdLimits(settings standin.Settings) standin.Settings {
	if r.opts.Crowds {
		settings.MemoryMB, settings.Descriptors = crowdMemoryMB, crowdDescriptors
	}
	return settings
}

// residentMB returns the resident memory of the process in megabytes; 0 while it does not run.
func (p *process) residentMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}
