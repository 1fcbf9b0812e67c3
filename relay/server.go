package relay

import (
	"context"
	"sync"
	"time"

	"github.com/coralstair/coralstair/link"
)

// Handler runs one request; it writes the answer to a Responder and ends it in any case.
type Handler func(ctx context.Context, req *link.Request, resp *Responder)

// Server runs the requests that come over one link.
type Server struct {
	ctx     context.Context
	sender  Sender
	handler Handler

	mu   sync.Mutex
	runs map[uint64]*Responder
}

// NewServer returns a server of a link; ctx ends with the link.
func NewServer(ctx context.Context, sender Sender, handler Handler) *Server {
	return &Server{ctx: ctx, sender: sender, handler: handler, runs: make(map[uint64]*Responder)}
}

// Handle takes one message that came over the link; others than those of a request are passed over.
func (s *Server) Handle(msg link.Message) {
	switch m := msg.(type) {
	case *link.Request:
		s.start(m)
	case *link.Cancel:
		if resp := s.find(m.ID); resp != nil {
			resp.cancel()
		}
	case *link.Credit:
		if resp := s.find(m.ID); resp != nil {
			resp.addCredit(m.Bytes)
		}
	}
}

func (s *Server) find(id uint64) *Responder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Server) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, id)
}

func (s *Server) start(req *link.Request) {
	ctx, cancel := context.WithCancel(s.ctx)
	resp := &Responder{
		server: s, id: req.ID, ctx: ctx, cancel: cancel,
		credit: req.Credit, more: make(chan struct{}, 1),
	}
	resp.deadline = time.AfterFunc(req.Deadline, cancel)
	s.mu.Lock()
	s.runs[req.ID] = resp
	s.mu.Unlock()
	go func() {
		defer cancel()
		defer resp.deadline.Stop()
		defer s.forget(req.ID)
		s.handler(ctx, req, resp)
	}()
}

// Responder writes one answer.
type Responder struct {
	server *Server
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	more   chan struct{}
	// deadline ends the request unless a stream has begun.
	deadline *time.Timer

	mu     sync.Mutex
	credit int
	begun  bool
}

// Begun reports whether the answer's head was sent.
func (r *Responder) Begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun
}

// Data sends a part of the body; it waits while the reader has no room.
func (r *Responder) Data(body []byte) error {
	if err := r.spend(len(body)); err != nil {
		return err
	}
	return r.server.sender.Send(r.ctx, &link.Data{ID: r.id, Body: body})
}

// End closes the answer; it is sent also after the request's deadline.
func (r *Responder) End(end link.End) error {
	end.ID = r.id
	return r.server.sender.Send(r.server.ctx, &end)
}

// Head opens the answer.
func (r *Responder) Head(head link.Head) error {
	head.ID = r.id
	r.mu.Lock()
	r.begun = true
	r.mu.Unlock()
	return r.server.sender.Send(r.ctx, &head)
}

// Stream says that the answer is a stream that has begun: the request's deadline, which is for its beginning, no
// longer cuts it off.
func (r *Responder) Stream() { r.deadline.Stop() }

func (r *Responder) addCredit(n int) {
	r.mu.Lock()
	r.credit += n
	r.mu.Unlock()
	select {
	case r.more <- struct{}{}:
	default:
	}
}

// spend waits until there is any credit; one part may overdraw it.
func (r *Responder) spend(n int) error {
	for {
		r.mu.Lock()
		if r.credit > 0 {
			r.credit -= n
			r.mu.Unlock()
			return nil
		}
		r.mu.Unlock()
		select {
		case <-r.more:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}
