package daemoncmd

import (
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/fill"
	"github.com/coralstair/coralstair/forward"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/told"
	"github.com/coralstair/coralstair/view"
)

const (
	dialTime     = time.Second
	idleTime     = 30 * time.Second
	clientBuffer = 2 << 10
	keepProbe    = time.Second
	keepProbes   = 2
)

// daemon is what an entry and a box have in common as processes.
type daemon interface {
	Parts() []supervise.Part
}

// role is what one kind of daemon is made of.
type role struct {
	name string
	// told says that entries tell what the store holds, and that it is read only while none does.
	told  bool
	build func(m machine.Machine, v *view.View, sources sources, logger log.Interface) (daemon, error)
}

// sources are what a daemon reads; of box and entry, which its view reads, one is nil.
type sources struct {
	store *platform.Store
	box   *told.Source
	entry *told.EntrySource
}

var (
	entryRole = role{name: "entry", build: newEntry}
	boxRole   = role{name: "box", build: newBox, told: true}
)

func newEntry(m machine.Machine, v *view.View, from sources, logger log.Interface) (daemon, error) {
	callers, err := net.Listen("tcp", m.CallersAt)
	if err != nil {
		return nil, err
	}
	ready, err := net.Listen("tcp", m.ReadyAt)
	if err != nil {
		return nil, err
	}
	links, err := net.Listen("tcp", m.LinkAt(m.Address))
	if err != nil {
		return nil, err
	}
	return forward.New(forward.Config{
		Machine: m, View: v, Wire: platform.Wire{}, Log: logger, Callers: callers, Ready: ready, Links: links, Told: from.entry,
		Quarantine: quarantine.New(quarantine.Options{
			Entry: m.ID, Store: from.store, Log: logger, Wait: view.WaitWithin(m.Bounds.Contact), Told: from.entry.Tells,
		}),
	}), nil
}

func newBox(m machine.Machine, v *view.View, from sources, logger log.Interface) (daemon, error) {
	listener, err := net.Listen("tcp", m.LinkAt(m.Address))
	if err != nil {
		return nil, err
	}
	return fill.New(fill.Config{
		Machine: m, View: v, Log: logger, Listener: listener, Told: from.box,
		Engine: platform.NewEngine(m.UpstreamAt, newClient()), Origin: platform.NewOrigin(newOriginClient()),
	}), nil
}

// newOriginClient returns a client that keeps no connection: the origin takes fewer than there are boxes.
func newOriginClient() *http.Client {
	client := newClient()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.DisableKeepAlives = true
	}
	return client
}

// newClient returns a client for the store or the server on this machine.
func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepProbe, Interval: keepProbe, Count: keepProbes},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTime,
		ReadBufferSize: clientBuffer, WriteBufferSize: clientBuffer,
	}}
}
