package relay

import (
	"context"
	"sync"
	"time"

	"github.com/coralstair/coralstair/link"
)

// Handler runs a request; it writes the response to a Responder and must call End.
type Handler func(ctx context.Context, req *link.Request, resp *Responder)

// Server runs the requests that arrive on a link.
type Server struct {
	ctx     context.Context
	sender  Sender
	handler Handler

	mu         sync.Mutex
	responders map[uint64]*Responder
}

// NewServer returns a server on a link; ctx ends with the link.
func NewServer(ctx context.Context, sender Sender, handler Handler) *Server {
	return &Server{ctx: ctx, sender: sender, handler: handler, responders: make(map[uint64]*Responder)}
}

// Handle handles a message from the link; it ignores messages that are not part of a request.
func (s *Server) Handle(msg link.Message) {
	switch m := msg.(type) {
	case *link.Request:
		s.start(m)
	case *link.Cancel:
		if resp := s.responder(m.ID); resp != nil {
			resp.cancel()
		}
	case *link.Credit:
		if resp := s.responder(m.ID); resp != nil {
			resp.addCredit(m.Bytes)
		}
	}
}

func (s *Server) responder(id uint64) *Responder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responders[id]
}

func (s *Server) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.responders, id)
}

func (s *Server) start(req *link.Request) {
	ctx, cancel := context.WithCancel(s.ctx)
	resp := &Responder{
		server: s, id: req.ID, ctx: ctx, cancel: cancel,
		credit: req.Credit, creditAdded: make(chan struct{}, 1),
	}
	resp.deadline = time.AfterFunc(req.Deadline, cancel)
	s.mu.Lock()
	s.responders[req.ID] = resp
	s.mu.Unlock()
	go func() {
		defer cancel()
		defer resp.deadline.Stop()
		defer s.remove(req.ID)
		s.handler(ctx, req, resp)
	}()
}

// Responder writes one response.
type Responder struct {
	server      *Server
	id          uint64
	ctx         context.Context
	cancel      context.CancelFunc
	creditAdded chan struct{}
	// deadline cancels the request; it is stopped once a stream has started.
	deadline *time.Timer

	mu       sync.Mutex
	credit   int
	headSent bool
}

// Begun reports whether the head of the response was sent.
func (r *Responder) Begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headSent
}

// Data sends a part of the body; it waits while there is no credit.
func (r *Responder) Data(body []byte) error {
	if err := r.consumeCredit(len(body)); err != nil {
		return err
	}
	return r.server.sender.Send(r.ctx, &link.Data{ID: r.id, Body: body})
}

// End ends the response; it is sent also after the request's deadline.
func (r *Responder) End(end link.End) error {
	end.ID = r.id
	return r.server.sender.Send(r.server.ctx, &end)
}

// Head starts the response.
func (r *Responder) Head(head link.Head) error {
	head.ID = r.id
	r.mu.Lock()
	r.headSent = true
	r.mu.Unlock()
	return r.server.sender.Send(r.ctx, &head)
}

// ClearDeadline stops the request's deadline, which does not apply to a stream that has started.
func (r *Responder) ClearDeadline() { r.deadline.Stop() }

func (r *Responder) addCredit(n int) {
	r.mu.Lock()
	r.credit += n
	r.mu.Unlock()
	select {
	case r.creditAdded <- struct{}{}:
	default:
	}
}

// consumeCredit waits until there is any credit; one part may overdraw it.
func (r *Responder) consumeCredit(n int) error {
	for {
		r.mu.Lock()
		if r.credit > 0 {
			r.credit -= n
			r.mu.Unlock()
			return nil
		}
		r.mu.Unlock()
		select {
		case <-r.creditAdded:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}
