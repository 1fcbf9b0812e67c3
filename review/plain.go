package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// plainWork is how long a plain service works on a request.
	plainWork = 15 * time.Millisecond
	// serverIdle is after how long a server closes an idle channel, as it announces.
	serverIdle = 5 * time.Second
)

// ranRequest is one run of a request.
type ranRequest struct {
	id, server, channel string
	at                  time.Time
}

// runLog holds what the servers ran.
type runLog struct {
	mu   sync.Mutex
	runs []ranRequest
}

func (l *runLog) add(run ranRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// byID returns the runs of each request.
func (l *runLog) byID() map[string][]ranRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]ranRequest)
	for _, run := range l.runs {
		all[run.id] = append(all[run.id], run)
	}
	return all
}

// plainServer stands in for a server of a plain service.
type plainServer struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	runs    *runLog

	mu sync.Mutex
	// lossShare is the largest share of the requests it runs of which it loses the answer: it resets the channel instead. ran and lost
	// count from when the share was set.
	lossShare float64
	ran, lost int
}

// addPlain starts the n-th server of a plain service and lists it.
func (r *rig) addPlain(n int, service string, runs *runLog) (*plainServer, error) {
	s := &plainServer{
		rig: r, id: fmt.Sprintf("i-desk%d", n), service: service, zone: zones[(n-1)%len(zones)],
		address: r.address(groupPlain, n, serverPort), runs: runs,
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: serverIdle, IdleTimeout: serverIdle}
	r.closers = append(r.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	r.store.put(tableServers, s.id, serverRow{Service: service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 6, State: "ready", Seq: 1})
	return s, nil
}

func (s *plainServer) setLossShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossShare, s.ran, s.lost = share, 0, 0
}

// losesAnswer counts a run and reports whether its answer is lost. At no time more than lossShare of the answers are.
func (s *plainServer) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran++
	if float64(s.lost+1) > s.lossShare*float64(s.ran) {
		return false
	}
	s.lost++
	return true
}

// ServeHTTP runs a request and answers it, or loses the answer.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(serverIdle.Seconds())))
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance", s.id)
		w.WriteHeader(http.StatusOK)
		return
	case expected != "" && expected != s.id:
		w.Header().Set("X-Instance", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.runs.add(ranRequest{id: id, server: s.id, channel: r.RemoteAddr, at: time.Now()})
	s.rig.line("server %s runs %s %s %s, channel of %s", s.id, r.Method, r.URL.Path, id, r.RemoteAddr)
	time.Sleep(plainWork)
	if s.losesAnswer() {
		s.rig.line("server %s has run %s; its answer is lost, the channel is reset", s.id, id)
		resetChannel(w)
		return
	}
	body := plainBody(id, s.id)
	w.Header().Set("X-Server-Seal", seal(s.id, id, http.StatusOK))
	_, _ = io.WriteString(w, body)
}

// resetChannel resets the channel of a request without an answer.
func resetChannel(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// plainBody is the whole body of a server's answer.
func plainBody(id, server string) string { return strings.Repeat(id+" at "+server+"\n", 20) }

// seal is the receipt that binds an answer to its server, request and status.
func seal(server, id string, status int) string { return fmt.Sprintf("%s.%s.%d", server, id, status) }
