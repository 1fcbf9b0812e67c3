package swarm

import (
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// Node is one box's view of one version on its way: what it has, what others have, what is asked for.
// It is not safe for concurrent use.
type Node struct {
	params  Params
	order   *Order
	have    []bool
	missing int
	copies  []int
	near    []int
	ranks   []int
	places  []int
	plan    []int
	peers   map[string]*peer
	asked   map[int]ask
	drawing map[int]bool
	closed  map[int]time.Time
	usual   time.Duration
	news    time.Time
	began   time.Time
	salt    uint64
}

// Action is one thing to do now: ask a box for a chunk or, when Draw is set, draw it from the origin.
// Rank is this box's place among those that may draw the chunk. Drop says that a chunk asked of a box is no longer wanted.
type Action struct {
	Chunk int
	Peer  string
	Draw  bool
	Rank  int
	Drop  bool
}

// Fault says why a chunk did not come.
type Fault int

// The faults of a giver.
const (
	// FaultDeclined means that the giver had no time; it is no fault of its.
	FaultDeclined Fault = iota
	// FaultStalled means that the giver did not answer in time.
	FaultStalled
	// FaultCorrupt means that what came had another digest.
	FaultCorrupt
)

// ask is a chunk asked of a box.
type ask struct {
	peer  string
	since time.Time
}

// NewNode returns a node that already holds the chunks in have.
func NewNode(params Params, order *Order, have []int, now time.Time) *Node {
	n := &Node{
		params:  params.withDefaults(),
		have:    make([]bool, order.chunks),
		copies:  make([]int, order.chunks),
		near:    make([]int, order.chunks),
		missing: order.chunks,
		peers:   make(map[string]*peer),
		asked:   make(map[int]ask),
		drawing: make(map[int]bool),
		closed:  make(map[int]time.Time),
		news:    now,
		began:   now,
		salt:    score(params.Self.ID, 0, params.Self.Site),
	}
	for _, chunk := range have {
		n.hold(chunk)
	}
	n.Reorder(order)
	return n
}

// CloseGroup keeps a group from being drawn from the origin until a time: its permit was not to be had.
func (n *Node) CloseGroup(group int, until time.Time) {
	n.closed[group] = until
}

// Complete reports whether all chunks are held.
func (n *Node) Complete() bool { return n.missing == 0 }

// DrawFailed says that the origin did not give a chunk.
func (n *Node) DrawFailed(chunk int, now time.Time) {
	delete(n.drawing, chunk)
	n.CloseGroup(n.order.Group(chunk), now.Add(n.params.RankWait))
}

// minPause is the least time for which a box that did not give a chunk is left alone.
const minPause = 20 * time.Millisecond

// Failed says that an asked chunk did not come from a box, and why.
func (n *Node) Failed(chunk int, from string, fault Fault, now time.Time) {
	n.release(chunk, from)
	p := n.peers[from]
	if p == nil {
		return
	}
	p.retry = now.Add(max(n.usual, minPause))
	switch fault {
	case FaultDeclined:
		p.pause = p.retry
	case FaultStalled:
		p.pause = now.Add(n.params.Patience)
		p.faults++
	case FaultCorrupt:
		p.faults++
	}
	if p.faults >= faultsBeforePause {
		p.faults = 0
		p.pause = now.Add(n.params.FaultPause)
	}
}

// Got says that a chunk came and was verified; from is empty when it was drawn. It reports whether the chunk was new.
func (n *Node) Got(chunk int, from string, now time.Time) bool {
	if a, ok := n.asked[chunk]; ok && a.peer == from {
		n.observe(now.Sub(a.since))
		n.peers[from].faults = 0
	}
	if a, ok := n.asked[chunk]; ok {
		n.release(chunk, a.peer)
	}
	delete(n.drawing, chunk)
	n.news = now
	return n.hold(chunk)
}

// Have returns the number of chunks held.
func (n *Node) Have() int { return len(n.have) - n.missing }

// Holds reports whether a chunk is held.
func (n *Node) Holds(chunk int) bool { return n.have[chunk] }

// Missing returns the chunks that are not held.
func (n *Node) Missing() []int {
	var missing []int
	for chunk, held := range n.have {
		if !held {
			missing = append(missing, chunk)
		}
	}
	return missing
}

// Next returns what to do now and marks it as being done.
func (n *Node) Next(now time.Time) []Action {
	if n.Complete() {
		return nil
	}
	n.expire(now)
	actions := n.nextDraws(now)
	return append(actions, n.nextAsks(now)...)
}

// Reorder takes a new order after boxes came or went.
func (n *Node) Reorder(order *Order) {
	n.order = order
	n.ranks = make([]int, order.Groups())
	n.places = make([]int, order.Groups())
	for group := range n.ranks {
		n.ranks[group], n.places[group] = order.Places(group, n.params.Self)
	}
	n.makePlan()
}

// SetPrefer takes another preference of the fleet.
func (n *Node) SetPrefer(prefer fleet.Preference) {
	if n.params.Prefer != prefer {
		n.params.Prefer = prefer
		n.makePlan()
	}
}

// expire gives up asks that have taken much longer than usual, so that the chunk is asked for elsewhere.
func (n *Node) expire(now time.Time) {
	patience := max(n.params.Patience, patienceFactor*n.usual)
	for chunk, a := range n.asked {
		if now.Sub(a.since) > patience {
			n.Failed(chunk, a.peer, FaultStalled, now)
		}
	}
}

// hold notes that a chunk is held; false when it was before.
func (n *Node) hold(chunk int) bool {
	if n.have[chunk] {
		return false
	}
	n.have[chunk] = true
	n.missing--
	return true
}

// observe takes how long a chunk took into the usual time.
func (n *Node) observe(took time.Duration) {
	if n.usual == 0 {
		n.usual = took
		return
	}
	n.usual += time.Duration(smoothing * float64(took-n.usual))
}

// release ends an ask of a box.
func (n *Node) release(chunk int, from string) {
	a, ok := n.asked[chunk]
	if !ok || a.peer != from {
		return
	}
	delete(n.asked, chunk)
	if p := n.peers[from]; p != nil {
		p.asked--
	}
}

// wanted reports whether a chunk is neither held nor on its way.
func (n *Node) wanted(chunk int) bool {
	_, asked := n.asked[chunk]
	return !n.have[chunk] && !asked && !n.drawing[chunk]
}
