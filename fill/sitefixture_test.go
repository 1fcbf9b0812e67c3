package fill

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
)

// site is a set of boxes, each on its own loopback address.
type site struct {
	t       *testing.T
	port    int
	origin  *fakeOrigin
	engines []*fakeEngine
	sources []*fakeSource
	config  *contract.Config
	servers discovery.Servers
	bound   time.Duration
	// relayed makes boxes take the store's content from entries.
	relayed bool
}

func newSite(t *testing.T, boxes int, bound time.Duration) *site {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, origin: &fakeOrigin{newest: 1}, port: probe.Addr().(*net.TCPAddr).Port, bound: bound}
	// Held until the test ends: the port is free on 127.0.0.1 while another site listens at it on its own addresses, and could
	// otherwise be assigned twice.
	t.Cleanup(func() { _ = probe.Close() })
	s.setLinkRate(1e9)
	for i := range boxes {
		s.servers.Present = append(s.servers.Present, contract.Server{
			ID: fmt.Sprint("server", i), Service: "s", Address: s.host(i) + ":1", Site: fmt.Sprint("site", i%2),
		})
		s.engines = append(s.engines, &fakeEngine{t: t})
		s.sources = append(s.sources, &fakeSource{named: make(chan contract.Target, 4)})
	}
	return s
}

// setLinkRate configures the service and the rate of the origin's link.
func (s *site) setLinkRate(rate float64) {
	s.config = contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{
		{Name: "s", Engine: &contract.Engine{Models: []contract.Model{{Name: testModel}}}},
		{Name: "o", Origin: originAddress, LinkRate: rate},
	}, nil)
}

// dialAsEntry opens a link to the first box as an entry does.
func (s *site) dialAsEntry(id string) *link.Conn {
	s.t.Helper()
	conn, err := link.Dial(s.t.Context(), http.DefaultClient, s.linkAt(0), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(conn.Close)
	if err := conn.Send(s.t.Context(), &link.Hello{ID: id, Role: link.RoleEntry, Site: "site0"}); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

func (s *site) host(i int) string { return fmt.Sprintf("127.0.7.%d", i+1) }

// newSiteOfTwoVersions returns three boxes that run version 1, hold version 2 and have just learned of version 3.
func newSiteOfTwoVersions(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 3, 8*time.Second)
	s.startRunning()
	s.nameVersion(2)
	time.Sleep(2400 * time.Millisecond)
	s.nameVersion(3)
	return s
}

// start runs one box until the returned function is called or the test ends.
func (s *site) start(i int, target contract.Version) context.CancelFunc {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	source := s.sources[i]
	source.declared = discovery.Declared{Config: s.config}
	if target != 0 {
		source.declared.Targets = []contract.Target{{Model: testModel, Version: target}}
	}
	source.servers = s.servers
	v := discovery.New(source, discovery.Options{Log: logger, VersionBound: s.bound})
	m := machine.Machine{
		ID: fmt.Sprint("box", i), Address: s.host(i), Site: fmt.Sprint("site", i%2), Service: "s",
		UpstreamAddress: s.host(i) + ":1", LinkPort: s.port, LinkRate: 1e8,
	}
	listener, err := net.Listen("tcp", m.LinkAddress(m.Address))
	if err != nil {
		s.t.Fatal(err)
	}
	cfg := Config{Machine: m, View: v, Engine: s.engines[i], Origin: s.origin, Log: logger, Listener: listener}
	if s.relayed {
		cfg.PeerSource = peersource.New(source)
	}
	b := New(cfg)
	go func() { _ = v.ServeDeclared(ctx) }()
	go func() { _ = v.ServeServers(ctx) }()
	for _, part := range b.Components() {
		go func() { _ = part.Run(ctx) }()
	}
	return cancel
}

// linkAt returns the address at which a box accepts links.
func (s *site) linkAt(i int) string { return net.JoinHostPort(s.host(i), strconv.Itoa(s.port)) }

func (s *site) startAll(target contract.Version) {
	for i := range s.engines {
		s.start(i, target)
	}
}

func (s *site) nameVersion(version contract.Version) {
	for _, source := range s.sources {
		source.named <- contract.Target{Model: testModel, Version: version}
	}
}

// waitLoaded waits until all servers run a version.
func (s *site) waitLoaded(version contract.Version, limit time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		done := true
		for _, engine := range s.engines {
			done = done && engine.loadedVersion() == version
		}
		if done {
			return
		}
	}
	for i, engine := range s.engines {
		s.t.Errorf("server %d runs version %d, want %d", i, engine.loadedVersion(), version)
	}
}

// startRunning starts all boxes on servers that run version 1, and waits until they are idle.
func (s *site) startRunning() {
	for _, engine := range s.engines {
		engine.loadVersion(1)
	}
	s.startAll(1)
	time.Sleep(300 * time.Millisecond)
}
