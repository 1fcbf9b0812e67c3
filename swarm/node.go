package swarm

import (
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// Node schedules the transfer of one version of many chunks to one box.
// It is not safe for concurrent use.
type Node struct {
	params       Params
	order        *Order
	have         []bool
	missing      int
	copies       []int
	siteCopies   []int
	ranks        []int
	siteRanks    []int
	plan         []int
	peers        map[string]*peer
	requests     map[int]chunkRequest
	downloading  map[int]bool
	blockedUntil map[int]time.Time
	meanTime     time.Duration
	lastProgress time.Time
	started      time.Time
	salt         uint64
}

// Action is one thing to do now: request Chunk from Peer or, with Download, download it from the origin.
// Rank is this box's rank for the chunk's group. With Cancel, an earlier request for the chunk is cancelled.
type Action struct {
	Chunk    int
	Peer     string
	Download bool
	Rank     int
	Cancel   bool
}

// Fault is the reason why a peer did not deliver a chunk.
type Fault int

// The faults of a peer.
const (
	// FaultDeclined means that the peer was busy; it does not count against the peer.
	FaultDeclined Fault = iota
	// FaultStalled means that the peer did not answer in time.
	FaultStalled
	// FaultCorrupt means that the chunk's digest did not match.
	FaultCorrupt
)

type chunkRequest struct {
	peer  string
	since time.Time
}

// NewNode returns a node that already holds the chunks in have.
func NewNode(params Params, order *Order, have []int, now time.Time) *Node {
	n := &Node{
		params:       params.withDefaults(),
		have:         make([]bool, order.chunks),
		copies:       make([]int, order.chunks),
		siteCopies:   make([]int, order.chunks),
		missing:      order.chunks,
		peers:        make(map[string]*peer),
		requests:     make(map[int]chunkRequest),
		downloading:  make(map[int]bool),
		blockedUntil: make(map[int]time.Time),
		lastProgress: now,
		started:      now,
		salt:         score(params.Self.ID, 0, params.Self.Site),
	}
	for _, chunk := range have {
		n.markHeld(chunk)
	}
	n.Reorder(order)
	return n
}

// BlockGroup prevents downloads of a group from the origin until a time, after its permit was unavailable.
func (n *Node) BlockGroup(group int, until time.Time) {
	n.blockedUntil[group] = until
}

// Complete reports whether all chunks are held.
func (n *Node) Complete() bool { return n.missing == 0 }

// DownloadFailed records that a chunk's download from the origin failed.
func (n *Node) DownloadFailed(chunk int, now time.Time) {
	delete(n.downloading, chunk)
	n.BlockGroup(n.order.Group(chunk), now.Add(n.params.RankDelay))
}

// minRetryDelay is the shortest time without requests to a peer that did not deliver a chunk.
const minRetryDelay = 20 * time.Millisecond

// RequestFailed records that a peer did not deliver a requested chunk, and why.
func (n *Node) RequestFailed(chunk int, from string, fault Fault, now time.Time) {
	n.release(chunk, from)
	p := n.peers[from]
	if p == nil {
		return
	}
	p.retryAt = now.Add(max(n.meanTime, minRetryDelay))
	switch fault {
	case FaultDeclined:
		p.pausedUntil = p.retryAt
	case FaultStalled:
		p.pausedUntil = now.Add(n.params.RequestTimeout)
		p.faults++
	case FaultCorrupt:
		p.faults++
	}
	if p.faults >= faultsBeforePause {
		p.faults = 0
		p.pausedUntil = now.Add(n.params.FaultPause)
	}
}

// Received records that a chunk arrived and was verified; from is empty for the origin. It reports whether the chunk was new.
func (n *Node) Received(chunk int, from string, now time.Time) bool {
	if req, ok := n.requests[chunk]; ok && req.peer == from {
		n.observe(now.Sub(req.since))
		n.peers[from].faults = 0
	}
	if req, ok := n.requests[chunk]; ok {
		n.release(chunk, req.peer)
	}
	delete(n.downloading, chunk)
	n.lastProgress = now
	return n.markHeld(chunk)
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

// Next returns the actions to start now and records them as in progress.
func (n *Node) Next(now time.Time) []Action {
	if n.Complete() {
		return nil
	}
	n.expire(now)
	actions := n.nextDownloads(now)
	return append(actions, n.nextRequests(now)...)
}

// Reorder replaces the order after a change of the fleet's members.
func (n *Node) Reorder(order *Order) {
	n.order = order
	n.ranks = make([]int, order.Groups())
	n.siteRanks = make([]int, order.Groups())
	for group := range n.ranks {
		n.ranks[group], n.siteRanks[group] = order.Ranks(group, n.params.Self)
	}
	n.makePlan()
}

// SetPrefer sets the fleet's preference.
func (n *Node) SetPrefer(prefer fleet.Preference) {
	if n.params.Prefer != prefer {
		n.params.Prefer = prefer
		n.makePlan()
	}
}

// expire fails requests that exceed the timeout, so that the chunk is requested elsewhere.
func (n *Node) expire(now time.Time) {
	timeout := max(n.params.RequestTimeout, timeoutFactor*n.meanTime)
	for chunk, req := range n.requests {
		if now.Sub(req.since) > timeout {
			n.RequestFailed(chunk, req.peer, FaultStalled, now)
		}
	}
}

// markHeld reports whether the chunk was missing before.
func (n *Node) markHeld(chunk int) bool {
	if n.have[chunk] {
		return false
	}
	n.have[chunk] = true
	n.missing--
	return true
}

// observe updates the mean time of a chunk.
func (n *Node) observe(took time.Duration) {
	if n.meanTime == 0 {
		n.meanTime = took
		return
	}
	n.meanTime += time.Duration(ewmaWeight * float64(took-n.meanTime))
}

func (n *Node) release(chunk int, from string) {
	req, ok := n.requests[chunk]
	if !ok || req.peer != from {
		return
	}
	delete(n.requests, chunk)
	if p := n.peers[from]; p != nil {
		p.inFlight--
	}
}

// wanted reports whether a chunk is neither held nor in flight.
func (n *Node) wanted(chunk int) bool {
	_, requested := n.requests[chunk]
	return !n.have[chunk] && !requested && !n.downloading[chunk]
}
