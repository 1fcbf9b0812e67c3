package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	healthPath  = "/health"
	beat        = 1200 * time.Millisecond
	plainSlots  = 6
	serviceName = "roster-desk"
)

// plainServer is a server of a plain service that speaks the platform's wire on its own sockets.
type plainServer struct {
	rig *rig
	// address is where the server is reached, listen where it listens; the same if listen is empty.
	address string
	listen  string
	zone    string
	id      string
	// service is the server's service; the usual one if empty.
	service string
	// answer writes the answer to a request that runs; it returns false if the connection ends with it.
	answer func(s *plainServer, w *bufio.Writer, req *http.Request, before int) bool
	// early, if set, writes bytes before a request is handled.
	early func(s *plainServer, w *bufio.Writer, req *http.Request, before int)

	mu       sync.Mutex
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	runs     []string
	stopBeat chan struct{}
}

// start starts the server, under the id that it has.
func (s *plainServer) start() error {
	listener, err := net.Listen("tcp", cmp.Or(s.listen, s.address))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born, s.listener, s.conns, s.stopBeat = time.Now().UnixMilli(), listener, make(map[net.Conn]bool), make(chan struct{})
	stop := s.stopBeat
	s.mu.Unlock()
	s.rig.notef("server %s starts", s.id)
	go s.accept(listener)
	go s.sendBeats(stop)
	return nil
}

// sendBeats writes the server's entry, the first time soon after its start.
func (s *plainServer) sendBeats(stop chan struct{}) {
	for seq := int64(1); ; seq++ {
		s.rig.store.Put(standin.TableServers, s.id, standin.Heartbeat{
			Service: cmp.Or(s.service, serviceName), Address: s.address, Zone: s.zone, Slots: plainSlots, State: standin.StateReady,
			Models: []standin.LoadedModel{}, Seq: seq, Born: s.bornAt(),
		})
		select {
		case <-stop:
			return
		case <-time.After(beat):
		}
	}
}

func (s *plainServer) bornAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// crash ends the server without a word; the kernel closes its connections.
func (s *plainServer) crash() {
	s.rig.notef("server %s crashes", s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopBeat)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *plainServer) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of one connection, one after the other.
func (s *plainServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	for before := 0; ; before++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.handle(w, req, before) {
			return
		}
	}
}

// handle answers one request; before is the number of requests that came earlier on the connection.
func (s *plainServer) handle(w *bufio.Writer, req *http.Request, before int) bool {
	id := req.Header.Get("X-Request-Id")
	switch {
	case req.URL.Path == healthPath:
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return w.Flush() == nil
	case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != s.id:
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return w.Flush() == nil
	}
	if s.early != nil {
		s.early(s, w, req, before)
	}
	s.mu.Lock()
	s.runs = append(s.runs, id)
	s.mu.Unlock()
	s.rig.notef("run %s at %s", id, s.id)
	return s.answer(s, w, req, before)
}

// ran returns the ids of the requests that the server has run.
func (s *plainServer) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs...)
}

// seal returns the receipt of a server for a request.
func seal(server, id string) string { return server + "." + id }

// bodyOf returns the whole body of a server's answer to a request.
func bodyOf(id, server string, lines int) string {
	return strings.Repeat(id+" at "+server+"\n", lines)
}
