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

// nodeSim simulates nodes in virtual time: requested chunks arrive after a delay, or fail.
type nodeSim struct {
	t         *rapid.T
	now       time.Time
	order     *Order
	nodes     map[string]*Node
	dead      map[string]bool
	events    []event
	downloads map[int]int
	crossings map[string]int
	permits   map[int]int
	fault     func() Fault
}

type event struct {
	at     time.Time
	to     string
	action Action
}

func newNodeSim(t *rapid.T, members []Member, chunks int, prefer fleet.Preference) *nodeSim {
	w := &nodeSim{
		t: t, now: testStart, order: NewOrder("salt", chunks, members), nodes: make(map[string]*Node),
		dead: make(map[string]bool), downloads: make(map[int]int), crossings: make(map[string]int),
		permits: make(map[int]int), fault: func() Fault { return noFault },
	}
	for _, member := range members {
		params := Params{Self: member, Prefer: prefer, RankDelay: time.Second, RequestTimeout: time.Second, FaultPause: 3 * time.Second}
		w.nodes[member.ID] = NewNode(params, w.order, nil, w.now)
	}
	return w
}

const noFault Fault = -1

// link connects a node with its neighbours and cross-site sources.
func (w *nodeSim) link(id string) {
	n := w.nodes[id]
	wanted := append(Neighbours(n.params.Self, w.order.members), n.CrossSitePeers(w.now)...)
	for _, member := range wanted {
		if w.dead[member.ID] || n.peers[member.ID] != nil {
			continue
		}
		w.connect(n, w.nodes[member.ID])
		w.connect(w.nodes[member.ID], n)
	}
}

func (w *nodeSim) connect(n, other *Node) {
	n.Peer(other.params.Self)
	var held []uint32
	for chunk, have := range other.have {
		if have {
			held = append(held, uint32(chunk))
		}
	}
	n.PeerHas(other.params.Self.ID, true, held, w.now)
}

// step advances the time, delivers due events and starts each node's next actions.
func (w *nodeSim) step() {
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

func (w *nodeSim) start(id string, action Action) {
	if action.Download {
		group := w.order.Group(action.Chunk)
		if n := w.nodes[id]; w.permits[group] >= MaxPermits && !n.Holds(action.Chunk) && w.downloads[action.Chunk] >= MaxPermits {
			n.DownloadFailed(action.Chunk, w.now)
			return
		}
		w.downloads[action.Chunk]++
	} else if !w.nodes[id].PeerHolds(action.Peer, action.Chunk) {
		w.t.Fatalf("%s requests from %s chunk %d, which it is not known to hold", id, action.Peer, action.Chunk)
	}
	delay := time.Duration(rapid.IntRange(5, 60).Draw(w.t, "delay")) * time.Millisecond
	w.events = append(w.events, event{at: w.now.Add(delay), to: id, action: action})
}

func (w *nodeSim) deliver(e event) {
	n := w.nodes[e.to]
	if w.dead[e.to] {
		return
	}
	if !e.action.Download {
		if w.dead[e.action.Peer] {
			return
		}
		if fault := w.fault(); fault != noFault {
			n.RequestFailed(e.action.Chunk, e.action.Peer, fault, w.now)
			return
		}
		if from := w.nodes[e.action.Peer].params.Self.Site; from != n.params.Self.Site {
			w.crossings[fmt.Sprint(n.params.Self.Site, "/", e.action.Chunk)]++
		}
	}
	if !n.Received(e.action.Chunk, e.action.Peer, w.now) {
		return
	}
	for _, other := range w.nodes {
		other.PeerHas(e.to, false, []uint32{uint32(e.action.Chunk)}, w.now)
	}
}

func (w *nodeSim) kill(id string) {
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

func (w *nodeSim) complete() bool {
	for id, n := range w.nodes {
		if !w.dead[id] && !n.Complete() {
			return false
		}
	}
	return true
}

// run steps until all live nodes are complete, and returns the virtual time that took.
func (w *nodeSim) run(limit time.Duration) time.Duration {
	for !w.complete() {
		if w.now.Sub(testStart) > limit {
			for id, n := range w.nodes {
				if !n.Complete() {
					w.t.Logf("%s lacks %v, requested %v, downloading %v", id, n.Missing(), n.requests, n.downloading)
				}
			}
			w.t.Fatalf("not complete after %s of virtual time", limit)
		}
		w.step()
	}
	return w.now.Sub(testStart)
}

// TestSpread checks rollouts without faults: all nodes complete, each chunk is downloaded at most as often as the preference
// allows and crosses into a site at most once.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sites := rapid.IntRange(1, 4).Draw(rt, "sites")
		boxes := rapid.IntRange(sites, 24).Draw(rt, "boxes")
		prefer := rapid.SampledFrom([]fleet.Preference{fleet.PreferOriginBytes, fleet.PreferTime}).Draw(rt, "prefer")
		w := newNodeSim(rt, testMembers(boxes, sites), rapid.IntRange(1, 60).Draw(rt, "chunks"), prefer)
		w.run(5 * time.Minute)
		most := 1
		if prefer == fleet.PreferTime {
			most = MaxPermits
		}
		for chunk, n := range w.downloads {
			if n > most {
				rt.Errorf("chunk %d downloaded %d times, want at most %d", chunk, n, most)
			}
		}
		for place, n := range w.crossings {
			if n > 1 {
				rt.Errorf("site and chunk %s: crossed %d times", place, n)
			}
		}
	})
}

// TestSpreadFaults checks that live boxes complete although others die and chunks are corrupt, late or declined.
func TestSpreadFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sites := rapid.IntRange(1, 4).Draw(rt, "sites")
		boxes := rapid.IntRange(2*sites, 20).Draw(rt, "boxes")
		w := newNodeSim(rt, testMembers(boxes, sites), rapid.IntRange(1, 40).Draw(rt, "chunks"), fleet.PreferOriginBytes)
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

// TestSoleHolderPaused checks that a chunk held only by a paused peer is still requested from it.
func TestSoleHolderPaused(t *testing.T) {
	members := testMembers(2, 1)
	n := NewNode(Params{Self: members[0]}, NewOrder("salt", 1, members), nil, testStart)
	n.blockedUntil[0] = testStart.Add(time.Hour)
	n.Peer(members[1])
	n.PeerHas(members[1].ID, true, []uint32{0}, testStart)
	for range faultsBeforePause {
		n.requests[0] = chunkRequest{peer: members[1].ID, since: testStart}
		n.RequestFailed(0, members[1].ID, FaultCorrupt, testStart)
	}
	later := testStart.Add(time.Second)
	if actions := n.Next(later); len(actions) != 1 || actions[0].Peer != members[1].ID {
		t.Errorf("actions %+v, want the chunk requested from its only holder", actions)
	}
}

// TestStalledRequestGoesToAnotherPeer checks that a request that times out is repeated at another peer.
func TestStalledRequestGoesToAnotherPeer(t *testing.T) {
	members := testMembers(3, 1)
	n := NewNode(Params{Self: members[0], MaxRequests: 1}, NewOrder("salt", 1, members), nil, testStart)
	n.blockedUntil[0] = testStart.Add(time.Hour)
	for _, member := range members[1:] {
		n.Peer(member)
		n.PeerHas(member.ID, true, []uint32{0}, testStart)
	}
	first := n.Next(testStart)
	if len(first) != 1 {
		t.Fatalf("actions %+v, want one request", first)
	}
	if again := n.Next(testStart.Add(DefaultRequestTimeout / 2)); len(again) != 0 {
		t.Errorf("requested again too early: %+v", again)
	}
	second := n.Next(testStart.Add(DefaultRequestTimeout + time.Second))
	if len(second) != 1 || second[0].Peer == first[0].Peer {
		t.Errorf("actions %+v, want a request to another box than %s", second, first[0].Peer)
	}
}

// TestOrderIsBalanced checks that no box is downloader or gateway of more groups than its even share.
func TestOrderIsBalanced(t *testing.T) {
	for name, tc := range map[string]struct{ boxes, sites, chunks int }{
		"16 in 3":   {16, 3, 128},
		"100 in 5":  {100, 5, 512},
		"570 in 23": {570, 23, 17500},
		"alone":     {1, 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			o := NewOrder("salt", tc.chunks, testMembers(tc.boxes, tc.sites))
			downloads, gateways := make(map[string]int), make(map[string]int)
			for group := range o.Groups() {
				for i, gateway := range o.Gateways(group) {
					gateways[gateway.ID]++
					if i == 0 {
						downloads[gateway.ID]++
					}
				}
			}
			perBox := (o.Groups() + tc.boxes - 1) / tc.boxes
			perSiteBox := (o.Groups() + tc.boxes/tc.sites - 1) / (tc.boxes / tc.sites)
			for id, n := range downloads {
				if n > perBox+1 {
					t.Errorf("%s downloads %d groups, even share is %d", id, n, perBox)
				}
			}
			for id, n := range gateways {
				if n > perSiteBox {
					t.Errorf("%s is gateway of %d groups, even share is %d", id, n, perSiteBox)
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
