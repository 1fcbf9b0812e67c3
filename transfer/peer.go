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
	outboxSize       = 256
	requestQueueSize = maxQueuedRequests
)

// Peer is another box to which a link is open.
type Peer struct {
	t        *Transfer
	member   swarm.Member
	sender   Sender
	outbox   chan link.Message
	requests chan *link.Want
	cancel   context.CancelFunc

	// The fields below are guarded by the transfer's mutex. unannounced are the chunks still to be announced to this peer,
	// announcedTarget the target whose chunks are announced.
	unannounced     []uint32
	announcedTarget uint64
	remote          remoteChunks
}

// remoteChunks are the chunks that the peer announced for its own target, which may become this box's target later.
type remoteChunks struct {
	manifest uint64
	chunks   []uint32
}

// AddPeer starts to use a link to another box; the caller passes received messages to Handle.
func (t *Transfer) AddPeer(ctx context.Context, member swarm.Member, sender Sender) *Peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{
		t: t, member: member, sender: sender, cancel: cancel,
		outbox:   make(chan link.Message, outboxSize),
		requests: make(chan *link.Want, requestQueueSize),
	}
	go p.sendOutbox(ctx)
	go p.serveRequests(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.peers[member.ID]; old != nil {
		old.detach()
	}
	t.peers[member.ID] = p
	if t.current != nil && t.current.node != nil {
		p.announceAll(t.current)
	}
	return p
}

// RemovePeer stops using a link.
func (t *Transfer) RemovePeer(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.cancel()
	if t.peers[p.member.ID] == p {
		p.detach()
		delete(t.peers, p.member.ID)
	}
}

// Handle processes a received message; it ignores messages that are not part of a transfer.
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

// enqueue queues a message without waiting; ok is false when the outbox is full.
func (p *Peer) enqueue(msg link.Message) (ok bool) {
	select {
	case p.outbox <- msg:
		return true
	default:
		return false
	}
}

// serveRequests sends the requested chunks one after another.
func (p *Peer) serveRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-p.requests:
			p.sendChunk(ctx, req)
		}
	}
}

func (p *Peer) sendChunk(ctx context.Context, req *link.Want) {
	defer p.t.queuedRequests.Add(-1)
	select {
	case <-ctx.Done():
		return
	case p.t.uploadSlots <- struct{}{}:
	}
	defer func() { <-p.t.uploadSlots }()
	data, ok := p.t.chunk(req.Manifest, req.Chunk)
	if !ok {
		p.enqueue(&link.Decline{Manifest: req.Manifest, Chunk: req.Chunk})
		return
	}
	if p.sender.Send(ctx, &link.Chunk{Manifest: req.Manifest, Chunk: req.Chunk, Body: data}) == nil {
		p.t.mu.Lock()
		p.t.progress.GivenBytes += int64(len(data))
		p.t.sent++
		p.t.mu.Unlock()
	}
}

func (p *Peer) handleChunk(m *link.Chunk) {
	p.t.mu.Lock()
	r := p.t.current
	known := r != nil && r.node != nil && r.target.Short() == m.Manifest && int(m.Chunk) < len(r.manifest.Chunks)
	if !known {
		p.t.discarded += int64(len(m.Body))
	}
	p.t.mu.Unlock()
	if !known {
		return
	}
	err := p.t.acceptChunk(r, int(m.Chunk), p.member.ID, m.Body)
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
	p.t.progress.Rejected += corruptCount(err)
	r.node.RequestFailed(int(m.Chunk), p.member.ID, fault, time.Now())
	p.t.wakeUp()
}

func (p *Peer) handleDecline(m *link.Decline) {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	r := p.t.current
	if r != nil && r.node != nil && r.target.Short() == m.Manifest {
		r.node.RequestFailed(int(m.Chunk), p.member.ID, swarm.FaultDeclined, time.Now())
		p.t.wakeUp()
	}
}

func (p *Peer) handleHave(m *link.Have) {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	if m.Reset || p.remote.manifest != m.Manifest {
		p.remote = remoteChunks{manifest: m.Manifest}
	}
	p.remote.chunks = append(p.remote.chunks, m.Chunks...)
	r := p.t.current
	if r == nil || r.node == nil || r.target.Short() != m.Manifest {
		return
	}
	r.node.PeerHas(p.member.ID, m.Reset, m.Chunks, time.Now())
	r.node.PeerLoad(p.member.ID, m.Queue, m.Sent)
	p.t.wakeUp()
}

func (p *Peer) handleWant(m *link.Want) {
	if p.t.queuedRequests.Add(1) <= maxQueuedRequests {
		select {
		case p.requests <- m:
			return
		default:
		}
	}
	p.t.queuedRequests.Add(-1)
	p.enqueue(&link.Decline{Manifest: m.Manifest, Chunk: m.Chunk})
}

// announceAll announces all chunks held of a run's target; the transfer's mutex is held.
func (p *Peer) announceAll(r *run) {
	r.node.Peer(p.member)
	if p.remote.manifest == r.target.Short() {
		r.node.PeerHas(p.member.ID, true, p.remote.chunks, time.Now())
	}
	p.unannounced = nil
	p.announcedTarget = r.target.Short()
	p.enqueue(&link.Have{Manifest: r.target.Short(), Reset: true, Chunks: r.held()})
}

// detach stops sending and removes the peer from the current run; the transfer's mutex is held.
func (p *Peer) detach() {
	p.cancel()
	if p.t.current != nil && p.t.current.node != nil {
		p.t.current.node.PeerGone(p.member.ID)
	}
}

func (p *Peer) sendOutbox(ctx context.Context) {
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

// announceNew announces the chunks that arrived since the last announcement; the transfer's mutex is held.
func (p *Peer) announceNew(target uint64, queued, sent int) {
	if len(p.unannounced) == 0 || p.announcedTarget != target {
		return
	}
	if p.enqueue(&link.Have{Manifest: target, Chunks: p.unannounced, Queue: queued, Sent: sent}) {
		p.unannounced = nil
	}
}

// chunk returns a stored chunk of any known manifest.
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
