package daemoncmd

import (
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/fill"
	"github.com/coralstair/coralstair/forward"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/stricthttp"
	"github.com/coralstair/coralstair/supervise"
)

const (
	dialTimeout       = time.Second
	idleConnTimeout   = 30 * time.Second
	clientBufferBytes = 2 << 10
	// maxResponseHeader bounds, in bytes, the header that is held of a response, since a server in trouble may send one without end.
	maxResponseHeader = 64 << 10
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// daemon is implemented by entries and boxes.
type daemon interface {
	Components() []supervise.Component
}

// role describes one kind of daemon.
type role struct {
	name string
	// fedByEntries means that entries relay the store's content; the daemon reads the store only while none does.
	fedByEntries bool
	build        func(m machine.Machine, v *discovery.View, sources sources, logger log.Interface) (daemon, error)
}

// sources are the data sources of a daemon. Its view reads box or entry; the other is nil.
type sources struct {
	store *platform.Store
	box   *peersource.Source
	entry *peersource.EntrySource
}

var (
	entryRole = role{name: "entry", build: newEntry}
	boxRole   = role{name: "box", build: newBox, fedByEntries: true}
)

func newEntry(m machine.Machine, v *discovery.View, src sources, logger log.Interface) (daemon, error) {
	callers, err := net.Listen("tcp", m.CallerAddress)
	if err != nil {
		return nil, err
	}
	ready, err := net.Listen("tcp", m.ReadyAddress)
	if err != nil {
		return nil, err
	}
	links, err := net.Listen("tcp", m.LinkAddress(m.Address))
	if err != nil {
		return nil, err
	}
	return forward.New(forward.Config{
		Machine: m, View: v, Wire: platform.Wire{}, Log: logger, Callers: callers, Ready: ready, Links: links, PeerSource: src.entry,
		Quarantine: quarantine.New(quarantine.Options{
			Entry: m.ID, Store: src.store, Log: logger, Wait: discovery.PollTimeoutWithin(m.Bounds.Contact), PeerActive: src.entry.PeerActive,
		}),
	}), nil
}

func newBox(m machine.Machine, v *discovery.View, src sources, logger log.Interface) (daemon, error) {
	listener, err := net.Listen("tcp", m.LinkAddress(m.Address))
	if err != nil {
		return nil, err
	}
	return fill.New(fill.Config{
		Machine: m, View: v, Log: logger, Listener: listener, PeerSource: src.box,
		Engine: platform.NewEngine(m.UpstreamAddress, newClient()), Origin: platform.NewOrigin(newOriginClient()),
	}), nil
}

// newOriginClient returns a client that keeps no idle connections: the origin accepts fewer connections than there are boxes.
func newOriginClient() *http.Client {
	client := newClient()
	if transport, ok := client.Transport.(*stricthttp.Transport); ok {
		transport.DisableKeepAlives = true
	}
	return client
}

// newClient returns a client for the store or the model server on this machine.
func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: clientBufferBytes, WriteBufferSize: clientBufferBytes, MaxResponseHeaderBytes: maxResponseHeader,
	})}
}
