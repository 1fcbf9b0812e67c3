package shortage

import (
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// job is one try at a server.
type job struct {
	caller *caller
	unread int
	left   int
}

// server works in passes: some prompt is read, then all that write get some tokens.
type server struct {
	engine  *contract.Engine
	waiting []*job
	slots   []*job
	working bool
}

// size returns how many requests are there.
func (s *server) size() int { return len(s.waiting) + len(s.slots) }

// load returns what is there as a box reports it: those that get tokens, and those that wait for their first.
func (s *server) load() engine.Load {
	load := engine.Load{}
	for _, j := range s.slots {
		if j.unread > 0 {
			load.Reading++
			load.Unread += j.unread
		} else {
			load.Writing++
		}
	}
	load.Reading += len(s.waiting)
	for _, j := range s.waiting {
		load.Unread += j.unread
	}
	return load
}

// pass begins a pass and returns how long it takes, with those that get their first event at its end.
func (s *server) pass() (takes time.Duration, first []*job) {
	for len(s.slots) < s.engine.Slots && len(s.waiting) > 0 {
		s.slots = append(s.slots, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	room, read, writing := s.engine.Chunk, 0, 0
	for _, j := range s.slots {
		if j.unread == 0 {
			writing++
			j.left -= s.engine.Stride
			continue
		}
		n := min(j.unread, room)
		j.unread -= n
		room -= n
		read += n
		if j.unread == 0 {
			first = append(first, j)
		}
	}
	return engine.Read(s.engine, read, 1) + time.Duration(s.engine.Stride)*engine.Step(s.engine, writing+len(first)), first
}

// finish takes out what is answered; it reports whether anything is left to do.
func (s *server) finish() bool {
	kept := s.slots[:0]
	for _, j := range s.slots {
		if j.unread > 0 || j.left > 0 {
			kept = append(kept, j)
		}
	}
	s.slots = kept
	return s.size() > 0
}
