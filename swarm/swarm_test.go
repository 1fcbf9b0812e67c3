package swarm

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coralstair/coralstair/fleet"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testMembers(boxes, sites int) []Member {
	members := make([]Member, boxes)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("b%03d", i), Site: fmt.Sprint("s", i%sites)}
	}
	return members
}

// world drives nodes in virtual time: what a node asks for arrives after a delay, or fails.
type world struct {
	t       *rapid.T
	now     time.Time
	order   *Order
	nodes   map[string]*Node
	dead    map[string]bool
	events  []event
	draws   map[int]int
	crossed map[string]int
	permits map[int]int
	fault   func() Fault
}

type event struct {
	at     time.Time
	to     string
	action Action
}

func newWorld(t *rapid.T, members []Member, chunks int, prefer fleet.Preference) *world {
	w := &world{
		t: t, now: testStart, order: NewOrder("salt", chunks, members), nodes: make(map[string]*Node),
		dead: make(map[string]bool), draws: make(map[int]int), crossed: make(map[string]int),
		permits: make(map[int]int), fault: func() Fault { return noFault },
	}
	for _, member := range members {
		params := Params{Self: member, Prefer: prefer, RankWait: time.Second, Patience: time.Second, FaultPause: 3 * time.Second}
		w.nodes[member.ID] = NewNode(params, w.order, nil, w.now)
	}
	return w
}

const noFault Fault = -1

// link connects a node with those it wants links to.
func (w *world) link(id string) {
	n := w.nodes[id]
	wanted := append(Neighbours(n.params.Self, w.order.members), n.CrossLinks(w.now)...)
	for _, member := range wanted {
		if w.dead[member.ID] || n.peers[member.ID] != nil {
			continue
		}
		w.join(n, w.nodes[member.ID])
		w.join(w.nodes[member.ID], n)
	}
}

func (w *world) join(n, other *Node) {
	n.Peer(other.params.Self)
	var held []uint32
	for chunk, have := range other.have {
		if have {
			held = append(held, uint32(chunk))
		}
	}
	n.PeerHas(other.params.Self.ID, true, held, w.now)
}

// step lets time pass, delivers what is due and lets each node decide.
func (w *world) step() {
	w.now = w.now.Add(20 * time.Millisecond)
	var later []event
	for _, e := range w.events {
		if e.at.After(w.now) {
			later = append(later, e)
			continue
		}
		w.deliver(e)
	}
	w.events = later
	for id, n := range w.nodes {
		if w.dead[id] {
			continue
		}
		w.link(id)
		for _, action := range n.Next(w.now) {
			w.start(id, action)
		}
	}
}

func (w *world) start(id string, action Action) {
	if action.Draw {
		group := w.order.Group(action.Chunk)
		if n := w.nodes[id]; w.permits[group] >= MaxPermits && !n.Holds(action.Chunk) && w.draws[action.Chunk] >= MaxPermits {
			n.DrawFailed(action.Chunk, w.now)
			return
		}
		w.draws[action.Chunk]++
	} else if !w.nodes[id].PeerHolds(action.Peer, action.Chunk) {
		w.t.Fatalf("%s asks %s for chunk %d, which it is not known to hold", id, action.Peer, action.Chunk)
	}
	delay := time.Duration(rapid.IntRange(5, 60).Draw(w.t, "delay")) * time.Millisecond
	w.events = append(w.events, event{at: w.now.Add(delay), to: id, action: action})
}

func (w *world) deliver(e event) {
	n := w.nodes[e.to]
	if w.dead[e.to] {
		return
	}
	if !e.action.Draw {
		if w.dead[e.action.Peer] {
			return
		}
		if fault := w.fault(); fault != noFault {
			n.Failed(e.action.Chunk, e.action.Peer, fault, w.now)
			return
		}
		if from := w.nodes[e.action.Peer].params.Self.Site; from != n.params.Self.Site {
			w.crossed[fmt.Sprint(n.params.Self.Site, "/", e.action.Chunk)]++
		}
	}
	if !n.Got(e.action.Chunk, e.action.Peer, w.now) {
		return
	}
	for _, other := range w.nodes {
		other.PeerHas(e.to, false, []uint32{uint32(e.action.Chunk)}, w.now)
	}
}

func (w *world) kill(id string) {
	w.dead[id] = true
	var alive []Member
	for _, member := range w.order.members {
		if !w.dead[member.ID] {
			alive = append(alive, member)
		}
	}
	w.order = NewOrder("salt", w.order.chunks, alive)
	for _, n := range w.nodes {
		n.PeerGone(id)
		n.Reorder(w.order)
	}
}

func (w *world) complete() bool {
	for id, n := range w.nodes {
		if !w.dead[id] && !n.Complete() {
			return false
		}
	}
	return true
}

// run steps until all nodes are complete and reports the virtual time that took.
func (w *world) run(limit time.Duration) time.Duration {
	for !w.complete() {
		if w.now.Sub(testStart) > limit {
			for id, n := range w.nodes {
				if !n.Complete() {
					w.t.Logf("%s lacks %v, asked %v, drawing %v", id, n.Missing(), n.asked, n.drawing)
				}
			}
			w.t.Fatalf("not complete after %s of virtual time", limit)
		}
		w.step()
	}
	return w.now.Sub(testStart)
}

// TestSpread runs rollouts without faults: all complete, the origin gives each chunk once (or as often as the
// preference allows), and each chunk crosses into a site at most once.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sites := rapid.IntRange(1, 4).Draw(rt, "sites")
		boxes := rapid.IntRange(sites, 24).Draw(rt, "boxes")
		prefer := rapid.SampledFrom([]fleet.Preference{fleet.PreferOriginBytes, fleet.PreferTime}).Draw(rt, "prefer")
		w := newWorld(rt, testMembers(boxes, sites), rapid.IntRange(1, 60).Draw(rt, "chunks"), prefer)
		w.run(5 * time.Minute)
		most := 1
		if prefer == fleet.PreferTime {
			most = MaxPermits
		}
		for chunk, n := range w.draws {
			if n > most {
				rt.Errorf("chunk %d drawn %d times, want %d at most", chunk, n, most)
			}
		}
		for place, n := range w.crossed {
			if n > 1 {
				rt.Errorf("site and chunk %s: crossed %d times", place, n)
			}
		}
	})
}

// TestSpreadFaults runs rollouts in which boxes die and chunks are corrupted, late or declined: the living complete.
func TestSpreadFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sites := rapid.IntRange(1, 4).Draw(rt, "sites")
		boxes := rapid.IntRange(2*sites, 20).Draw(rt, "boxes")
		w := newWorld(rt, testMembers(boxes, sites), rapid.IntRange(1, 40).Draw(rt, "chunks"), fleet.PreferOriginBytes)
		w.fault = func() Fault {
			if rapid.IntRange(0, 9).Draw(rt, "fault") > 0 {
				return noFault
			}
			return rapid.SampledFrom([]Fault{FaultCorrupt, FaultStalled, FaultDeclined}).Draw(rt, "kind")
		}
		deaths := rapid.IntRange(0, boxes/3).Draw(rt, "deaths")
		for i := range deaths {
			for range rapid.IntRange(0, 20).Draw(rt, "steps") {
				w.step()
			}
			w.kill(fmt.Sprintf("b%03d", i))
		}
		w.run(10 * time.Minute)
	})
}

// TestSoleHolderLeftAlone: a chunk that only a box left alone holds is still asked for there.
func TestSoleHolderLeftAlone(t *testing.T) {
	members := testMembers(2, 1)
	n := NewNode(Params{Self: members[0]}, NewOrder("salt", 1, members), nil, testStart)
	n.closed[0] = testStart.Add(time.Hour)
	n.Peer(members[1])
	n.PeerHas(members[1].ID, true, []uint32{0}, testStart)
	for range faultsBeforePause {
		n.asked[0] = ask{peer: members[1].ID, since: testStart}
		n.Failed(0, members[1].ID, FaultCorrupt, testStart)
	}
	later := testStart.Add(time.Second)
	if actions := n.Next(later); len(actions) != 1 || actions[0].Peer != members[1].ID {
		t.Errorf("actions %+v, want the chunk asked of its only holder", actions)
	}
}

// TestStalledAskGoesElsewhere: an ask that takes much longer than usual is given up and the chunk asked of another.
func TestStalledAskGoesElsewhere(t *testing.T) {
	members := testMembers(3, 1)
	n := NewNode(Params{Self: members[0], Pulls: 1}, NewOrder("salt", 1, members), nil, testStart)
	n.closed[0] = testStart.Add(time.Hour)
	for _, member := range members[1:] {
		n.Peer(member)
		n.PeerHas(member.ID, true, []uint32{0}, testStart)
	}
	first := n.Next(testStart)
	if len(first) != 1 {
		t.Fatalf("actions %+v, want one ask", first)
	}
	if again := n.Next(testStart.Add(DefaultPatience / 2)); len(again) != 0 {
		t.Errorf("asked again too early: %+v", again)
	}
	second := n.Next(testStart.Add(DefaultPatience + time.Second))
	if len(second) != 1 || second[0].Peer == first[0].Peer {
		t.Errorf("actions %+v, want an ask of another box than %s", second, first[0].Peer)
	}
}

// TestOrderEven: no box is drawer, or home in its site, of more groups than its even share.
func TestOrderEven(t *testing.T) {
	for name, tc := range map[string]struct{ boxes, sites, chunks int }{
		"16 in 3":   {16, 3, 128},
		"100 in 5":  {100, 5, 512},
		"570 in 23": {570, 23, 17500},
		"alone":     {1, 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			o := NewOrder("salt", tc.chunks, testMembers(tc.boxes, tc.sites))
			draws, homes := make(map[string]int), make(map[string]int)
			for group := range o.Groups() {
				for i, home := range o.Homes(group) {
					homes[home.ID]++
					if i == 0 {
						draws[home.ID]++
					}
				}
			}
			perBox := (o.Groups() + tc.boxes - 1) / tc.boxes
			perSiteBox := (o.Groups() + tc.boxes/tc.sites - 1) / (tc.boxes / tc.sites)
			for id, n := range draws {
				if n > perBox+1 {
					t.Errorf("%s draws %d groups, even is %d", id, n, perBox)
				}
			}
			for id, n := range homes {
				if n > perSiteBox {
					t.Errorf("%s is home of %d groups, even is %d", id, n, perSiteBox)
				}
			}
		})
	}
}

func TestNeighboursBounded(t *testing.T) {
	members := testMembers(570, 23)
	for _, member := range members {
		near := Neighbours(member, members)
		if len(near) > MaxNeighbours {
			t.Fatalf("%s has %d neighbours", member.ID, len(near))
		}
		for _, other := range near {
			if other.Site != member.Site || other.ID == member.ID {
				t.Fatalf("%s has neighbour %+v", member.ID, other)
			}
		}
	}
}
