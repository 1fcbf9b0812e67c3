package fill

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/told"
	"github.com/coralstair/coralstair/view"
)

// site is boxes on loopback addresses of their own.
type site struct {
	t       *testing.T
	port    int
	origin  *fakeOrigin
	engines []*fakeEngine
	sources []*fakeSource
	config  *contract.Config
	servers view.Servers
	bound   time.Duration
	// told has boxes follow entries.
	told bool
}

func newSite(t *testing.T, boxes int, bound time.Duration) *site {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, origin: &fakeOrigin{newest: 1}, port: probe.Addr().(*net.TCPAddr).Port, bound: bound}
	// Held until the test ends: the port is free on 127.0.0.1 while another site listens at it on its own addresses, and would be
	// given out a second time (6 of 200 runs of 25 sites, none of 200 with it held).
	t.Cleanup(func() { _ = probe.Close() })
	s.config = contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{
		{Name: "s", Engine: &contract.Engine{Models: []contract.Model{{Name: testModel}}}},
		{Name: "o", Origin: originAt, LinkRate: 1e9},
	}, nil)
	for i := range boxes {
		s.servers.Present = append(s.servers.Present, contract.Server{
			ID: fmt.Sprint("server", i), Service: "s", Address: s.host(i) + ":1", Site: fmt.Sprint("site", i%2),
		})
		s.engines = append(s.engines, &fakeEngine{t: t})
		s.sources = append(s.sources, &fakeSource{named: make(chan contract.Target, 4)})
	}
	return s
}

func (s *site) host(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// newSiteOfTwoVersions returns three boxes that run version 1, hold version 2 and have just heard of version 3.
func newSiteOfTwoVersions(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 3, 8*time.Second)
	s.startRunning()
	s.name(2)
	time.Sleep(2400 * time.Millisecond)
	s.name(3)
	return s
}

// start runs one box until the returned function or the test ends it.
func (s *site) start(i int, target contract.Version) context.CancelFunc {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	source := s.sources[i]
	source.declared = view.Declared{Config: s.config}
	if target != 0 {
		source.declared.Targets = []contract.Target{{Model: testModel, Version: target}}
	}
	source.servers = s.servers
	v := view.New(source, view.Options{Log: logger, VersionBound: s.bound})
	m := machine.Machine{
		ID: fmt.Sprint("box", i), Address: s.host(i), Site: fmt.Sprint("site", i%2), Service: "s",
		UpstreamAt: s.host(i) + ":1", LinkPort: s.port, LinkRate: 1e8,
	}
	listener, err := net.Listen("tcp", m.LinkAt(m.Address))
	if err != nil {
		s.t.Fatal(err)
	}
	cfg := Config{Machine: m, View: v, Engine: s.engines[i], Origin: s.origin, Log: logger, Listener: listener}
	if s.told {
		cfg.Told = told.New(source)
	}
	b := New(cfg)
	go func() { _ = v.ServeDeclared(ctx) }()
	go func() { _ = v.ServeServers(ctx) }()
	for _, part := range b.Parts() {
		go func() { _ = part.Run(ctx) }()
	}
	return cancel
}

// linkAt returns the address at which a box takes links.
func (s *site) linkAt(i int) string { return net.JoinHostPort(s.host(i), strconv.Itoa(s.port)) }

func (s *site) startAll(target contract.Version) {
	for i := range s.engines {
		s.start(i, target)
	}
}

func (s *site) name(version contract.Version) {
	for _, source := range s.sources {
		source.named <- contract.Target{Model: testModel, Version: version}
	}
}

// wait waits until all servers run a version.
func (s *site) wait(version contract.Version, limit time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		done := true
		for _, engine := range s.engines {
			done = done && engine.runs() == version
		}
		if done {
			return
		}
	}
	for i, engine := range s.engines {
		s.t.Errorf("server %d runs version %d, want %d", i, engine.runs(), version)
	}
}

// startRunning runs all boxes, whose servers run version 1 already, and lets them settle.
func (s *site) startRunning() {
	for _, engine := range s.engines {
		engine.runFrom(1)
	}
	s.startAll(1)
	time.Sleep(300 * time.Millisecond)
}
