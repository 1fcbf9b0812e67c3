package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// slowReport is how long a slow server takes for a report, slowPiece for a piece, slowOrder until it takes an order.
	slowReport = 750 * time.Millisecond
	slowPiece  = 60 * time.Millisecond
	slowOrder  = 800 * time.Millisecond
	// minVersionGap and versionGapSpread bound the time between the namings of two versions.
	minVersionGap    = 300 * time.Millisecond
	versionGapSpread = 3 * time.Second
)

// versionPlan names versions in quick succession while servers restart empty, are slow towards their boxes or have pieces turn bad, and
// boxes are killed or paused.
func (r *rig) versionPlan() []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 11))
	var plan []fault
	for at := minVersionGap; at < r.opts.FaultPeriod; at += minVersionGap + time.Duration(rng.Int64N(int64(versionGapSpread))) {
		plan = append(plan, fault{name: "version", planned: true, at: at, do: func() { r.writeTarget() }, undo: func() {}})
	}
	kinds := r.versionFaults(rng)
	for at := time.Duration(0); at < r.opts.FaultPeriod; at += time.Duration(100+rng.IntN(300)) * time.Millisecond {
		f := kinds[rng.IntN(len(kinds))]()
		f.at, f.duration = at, time.Duration(200+rng.IntN(2800))*time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

// versionFaults returns a constructor per kind of fault of a server towards its box, or of a box.
func (r *rig) versionFaults(rng *rand.Rand) []func() fault {
	engine := func() *standin.Server { return r.engines[rng.IntN(len(r.engines))] }
	box := func() *process { return r.boxes[rng.IntN(len(r.boxes))] }
	return []func() fault{
		func() fault {
			s, slow := engine(), []standin.BoxDelays{
				{Report: slowReport}, {Order: slowOrder}, {Stage: slowPiece}, {Report: slowReport, Stage: slowPiece, Order: slowOrder},
			}[rng.IntN(4)]
			return fault{
				name: fmt.Sprintf("slow towards its box %+v %s", slow, s.Address),
				do:   func() { s.SetBoxDelays(slow) }, undo: func() { s.SetBoxDelays(standin.BoxDelays{}) },
			}
		},
		func() fault {
			s, wiped, slow := engine(), rng.IntN(2) == 0, standin.BoxDelays{Report: slowReport, Order: slowOrder}
			return fault{
				name: fmt.Sprintf("empty and slow, without pieces %t %s", wiped, s.Address),
				do:   func() { r.restart(s, wiped); s.SetBoxDelays(slow) }, undo: func() { s.SetBoxDelays(standin.BoxDelays{}) },
			}
		},
		func() fault {
			s, piece := engine(), rng.IntN(standin.Pieces)
			return fault{name: "corrupt a piece at " + s.Address, do: func() { s.CorruptPiece(piece) }, undo: func() {}}
		},
		func() fault {
			p := box()
			return fault{name: "kill " + p.name, do: p.kill, undo: func() { _ = p.start() }}
		},
		func() fault {
			p := box()
			return fault{
				name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP, false) }, undo: func() { p.signal(syscall.SIGCONT, false) },
			}
		},
	}
}
