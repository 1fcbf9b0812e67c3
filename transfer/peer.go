package transfer

import (
	"context"
	"errors"
	"time"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/weights"
)

// Sender is the sending side of a link.
type Sender interface {
	Send(ctx context.Context, msg link.Message) error
}

const (
	outboxSize = 256
	wantsSize  = maxWaiting
)

// Peer is another box to which a link is up.
type Peer struct {
	t      *Transfer
	member swarm.Member
	sender Sender
	outbox chan link.Message
	wants  chan *link.Want
	cancel context.CancelFunc

	// The rest is guarded by the transfer's mutex: chunks to tell of, for which target, and what the other told.
	fresh  []uint32
	joined uint64
	theirs theirs
}

// theirs is what the other box told that it holds of its own target, which this box may learn of later.
type theirs struct {
	manifest uint64
	chunks   []uint32
}

// AddPeer takes a link to another box and starts to use it; the caller hands what it receives to Handle.
func (t *Transfer) AddPeer(ctx context.Context, member swarm.Member, sender Sender) *Peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{
		t: t, member: member, sender: sender, cancel: cancel,
		outbox: make(chan link.Message, outboxSize),
		wants:  make(chan *link.Want, wantsSize),
	}
	go p.send(ctx)
	go p.give(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.peers[member.ID]; old != nil {
		old.leave()
	}
	t.peers[member.ID] = p
	if t.current != nil && t.current.node != nil {
		p.join(t.current)
	}
	return p
}

// RemovePeer ends the use of a link.
func (t *Transfer) RemovePeer(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.cancel()
	if t.peers[p.member.ID] == p {
		p.leave()
		delete(t.peers, p.member.ID)
	}
}

// Handle takes one message that came over the link; others than those of a transfer are passed over.
func (p *Peer) Handle(msg link.Message) {
	switch m := msg.(type) {
	case *link.Have:
		p.handleHave(m)
	case *link.Want:
		p.handleWant(m)
	case *link.Chunk:
		p.handleChunk(m)
	case *link.Decline:
		p.handleDecline(m)
	}
}

// enqueue sends a message without waiting; ok is false when too many wait already.
func (p *Peer) enqueue(msg link.Message) (ok bool) {
	select {
	case p.outbox <- msg:
		return true
	default:
		return false
	}
}

// give sends the chunks that the other box asked for, one after another.
func (p *Peer) give(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case want := <-p.wants:
			p.giveOne(ctx, want)
		}
	}
}

func (p *Peer) giveOne(ctx context.Context, want *link.Want) {
	defer p.t.waiting.Add(-1)
	select {
	case <-ctx.Done():
		return
	case p.t.gives <- struct{}{}:
	}
	defer func() { <-p.t.gives }()
	data, ok := p.t.chunk(want.Manifest, want.Chunk)
	if !ok {
		p.enqueue(&link.Decline{Manifest: want.Manifest, Chunk: want.Chunk})
		return
	}
	if p.sender.Send(ctx, &link.Chunk{Manifest: want.Manifest, Chunk: want.Chunk, Body: data}) == nil {
		p.t.mu.Lock()
		p.t.progress.GivenBytes += int64(len(data))
		p.t.given++
		p.t.mu.Unlock()
	}
}

func (p *Peer) handleChunk(m *link.Chunk) {
	p.t.mu.Lock()
	r := p.t.current
	known := r != nil && r.node != nil && r.target.Short() == m.Manifest && int(m.Chunk) < len(r.manifest.Chunks)
	if !known {
		p.t.wasted += int64(len(m.Body))
	}
	p.t.mu.Unlock()
	if !known {
		return
	}
	err := p.t.take(r, int(m.Chunk), p.member.ID, m.Body)
	if err == nil {
		return
	}
	fault := swarm.FaultDeclined
	var mismatch *weights.MismatchError
	if errors.As(err, &mismatch) {
		fault = swarm.FaultCorrupt
	}
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	p.t.progress.Rejected += rejects(err)
	r.node.Failed(int(m.Chunk), p.member.ID, fault, time.Now())
	p.t.wakeUp()
}

func (p *Peer) handleDecline(m *link.Decline) {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	r := p.t.current
	if r != nil && r.node != nil && r.target.Short() == m.Manifest {
		r.node.Failed(int(m.Chunk), p.member.ID, swarm.FaultDeclined, time.Now())
		p.t.wakeUp()
	}
}

func (p *Peer) handleHave(m *link.Have) {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	if m.Reset || p.theirs.manifest != m.Manifest {
		p.theirs = theirs{manifest: m.Manifest}
	}
	p.theirs.chunks = append(p.theirs.chunks, m.Chunks...)
	r := p.t.current
	if r == nil || r.node == nil || r.target.Short() != m.Manifest {
		return
	}
	r.node.PeerHas(p.member.ID, m.Reset, m.Chunks, time.Now())
	r.node.PeerLoad(p.member.ID, m.Queue, m.Given)
	p.t.wakeUp()
}

func (p *Peer) handleWant(m *link.Want) {
	if p.t.waiting.Add(1) <= maxWaiting {
		select {
		case p.wants <- m:
			return
		default:
		}
	}
	p.t.waiting.Add(-1)
	p.enqueue(&link.Decline{Manifest: m.Manifest, Chunk: m.Chunk})
}

// join tells the other box all that this one holds of a run's target; the transfer's mutex is held.
func (p *Peer) join(r *run) {
	r.node.Peer(p.member)
	if p.theirs.manifest == r.target.Short() {
		r.node.PeerHas(p.member.ID, true, p.theirs.chunks, time.Now())
	}
	p.fresh = nil
	p.joined = r.target.Short()
	p.enqueue(&link.Have{Manifest: r.target.Short(), Reset: true, Chunks: r.held()})
}

// leave takes the box out of the current run; the transfer's mutex is held.
func (p *Peer) leave() {
	p.cancel()
	if p.t.current != nil && p.t.current.node != nil {
		p.t.current.node.PeerGone(p.member.ID)
	}
}

func (p *Peer) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-p.outbox:
			if p.sender.Send(ctx, msg) != nil {
				return
			}
		}
	}
}

// tell sends the chunks that came since the last time; the transfer's mutex is held.
func (p *Peer) tell(target uint64, waiting, given int) {
	if len(p.fresh) == 0 || p.joined != target {
		return
	}
	if p.enqueue(&link.Have{Manifest: target, Chunks: p.fresh, Queue: waiting, Given: given}) {
		p.fresh = nil
	}
}

// chunk returns a chunk that this box holds and can give.
func (t *Transfer) chunk(short uint64, chunk uint32) ([]byte, bool) {
	t.mu.Lock()
	var known weights.Manifest
	for digest, manifest := range t.manifests {
		if digest.Short() == short {
			known = manifest
		}
	}
	t.mu.Unlock()
	if int(chunk) >= len(known.Chunks) {
		return nil, false
	}
	return t.cfg.Store.Chunk(known.Chunks[chunk])
}
