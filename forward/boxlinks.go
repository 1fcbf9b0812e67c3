package forward

import (
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

const (
	// sendTimeout bounds how long a full link may block the sending of one message.
	sendTimeout     = 20 * time.Millisecond
	linkDialTimeout = time.Second
	// A link that receives nothing for reportTimeout is closed and opened again after redialDelay.
	reportTimeout = 3 * time.Second
	redialDelay   = 500 * time.Millisecond
	// weightChangeThreshold is the relative change of the entry's weight from which the box is informed.
	weightChangeThreshold = 0.05
)

// boxLinks keeps a link to the box of each model server, on which the box reports the server's state.
type boxLinks struct {
	entry  *Entry
	client *http.Client
	wakeup chan struct{}

	mu          sync.Mutex
	cancels     map[string]context.CancelFunc
	weights     map[string]float64
	entryCounts map[string]entryCount
	links       map[string]*boxLink
	sentTargets []discovery.ObservedTarget
	// sentEvacuations are the evacuated sites that boxes were last told of.
	sentEvacuations discovery.Evacuations
	// followers are the boxes that receive configuration and the server list, listFollowers the entries of the site that receive the
	// server list.
	followers     map[*link.Conn]*follower
	listFollowers map[*link.Conn]*listFollower
	list          listPublisher
	declared      declaredPublisher
}

// boxLink is a link to a box; server is the ID of the server in the latest report.
type boxLink struct {
	conn      *link.Conn
	server    string
	measuring bool
}

func newBoxLinks(e *Entry) *boxLinks {
	dialer := &net.Dialer{
		Timeout:         linkDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return &boxLinks{
		entry: e,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, ReadBufferSize: connBuffer, WriteBufferSize: connBuffer,
		}},
		wakeup:  make(chan struct{}, 1),
		cancels: make(map[string]context.CancelFunc), weights: make(map[string]float64),
		entryCounts: make(map[string]entryCount), links: make(map[string]*boxLink),
		followers: make(map[*link.Conn]*follower), listFollowers: make(map[*link.Conn]*listFollower),
	}
}

// wake makes serve update links and followers.
func (bl *boxLinks) wake() {
	select {
	case bl.wakeup <- struct{}{}:
	default:
	}
}

// serve opens links to new boxes, closes those to removed ones and sends updates to all, until ctx ends.
func (bl *boxLinks) serve(ctx context.Context) error {
	ticker := time.NewTicker(listHeartbeat)
	defer ticker.Stop()
	for {
		bl.updateLinks(ctx)
		bl.sendTargets()
		bl.sendEvacuations()
		bl.publishList()
		bl.updateFollowers()
		for woken := false; !woken; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-bl.wakeup:
				woken = true
			case <-ticker.C:
				bl.publishList()
			}
		}
	}
}

// updateLinks opens and closes links according to the server list; without a configuration it keeps all. A link to a box outside the
// subset is closed once no request is in flight at its server.
func (bl *boxLinks) updateLinks(ctx context.Context) {
	cfg := bl.entry.cfg.View.Config()
	if cfg == nil {
		return
	}
	wanted, busy := bl.wantedLinks(cfg)
	bl.mu.Lock()
	defer bl.mu.Unlock()
	for address, cancel := range bl.cancels {
		if wanted[address] == 0 && !busy[address] {
			cancel()
			delete(bl.cancels, address)
			delete(bl.entryCounts, address)
			delete(bl.weights, address)
		}
	}
	for address, weight := range wanted {
		if bl.cancels[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			bl.cancels[address] = cancel
			go bl.maintainLink(linkCtx, address)
		}
		if old := bl.weights[address]; math.Abs(weight-old) > weightChangeThreshold*old {
			bl.weights[address] = weight
			if l := bl.links[address]; l != nil {
				trySend(l.conn, bl.hello(weight))
			}
		}
	}
}

// hello returns the message that introduces the entry to a box.
func (bl *boxLinks) hello(weight float64) *link.Hello {
	return &link.Hello{ID: bl.entry.cfg.Machine.ID, Role: link.RoleEntry, Site: bl.entry.cfg.Machine.Site, Weight: weight, Host: bl.entry.cfg.Machine.Address}
}

// wantedLinks returns the weights of the boxes in the subset by address, and the boxes at whose servers requests are in flight.
func (bl *boxLinks) wantedLinks(cfg *contract.Config) (wanted map[string]float64, busy map[string]bool) {
	wanted, busy = make(map[string]float64), make(map[string]bool)
	for _, up := range bl.entry.upstreams.all() {
		server, weight, inUse := up.linkInfo()
		service := cfg.Service(server.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil {
			continue
		}
		address := bl.entry.cfg.Machine.LinkAddress(host)
		busy[address] = busy[address] || inUse
		if weight > 0 {
			wanted[address] = weight
		}
	}
	return wanted, busy
}

// maintainLink keeps a link to one box open until ctx ends.
func (bl *boxLinks) maintainLink(ctx context.Context, address string) {
	for ctx.Err() == nil {
		bl.receiveReports(ctx, address)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// receiveReports handles the messages of one box until the link ends or times out.
func (bl *boxLinks) receiveReports(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, bl.client, address, nil)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	bl.mu.Lock()
	weight := bl.weights[address]
	bl.mu.Unlock()
	if err := conn.Send(ctx, bl.hello(weight)); err != nil {
		return
	}
	bl.addLink(address, conn)
	defer bl.removeLink(address, conn)
	timeout := time.AfterFunc(reportTimeout, conn.Close)
	defer timeout.Stop()
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		timeout.Reset(reportTimeout)
		switch msg := msg.(type) {
		case *link.Report:
			bl.entry.upstreams.applyReport(*msg, clock.Now())
			bl.entry.cfg.View.ObservePeerRevision(msg.Revision)
			bl.updateEntryCount(address, msg)
		case *link.Follow:
			bl.setFollower(conn, msg.Service)
		case *link.Target:
			bl.entry.cfg.View.ObserveTarget(msg.Observed())
		case *link.Evacuations:
			bl.entry.cfg.View.ObservePeerEvacuations(msg.Known)
		case *link.Entries:
			bl.entry.reader.setHosts(address, msg.Hosts)
		}
	}
}

// addLink registers the link to a box and sends the box the current target versions and evacuated sites.
func (bl *boxLinks) addLink(address string, conn *link.Conn) {
	bl.mu.Lock()
	bl.links[address] = &boxLink{conn: conn}
	bl.mu.Unlock()
	for _, target := range bl.entry.cfg.View.Targets() {
		_ = trySend(conn, link.NewTarget(target))
	}
	if known, ok := bl.entry.cfg.View.Evacuations(); ok && len(known.Sites)+len(known.Lost) > 0 {
		trySend(conn, &link.Evacuations{Known: known})
	}
}

func (bl *boxLinks) removeLink(address string, conn *link.Conn) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	delete(bl.followers, conn)
	bl.entry.reader.setHosts(address, nil)
	if l := bl.links[address]; l != nil && l.conn == conn {
		delete(bl.links, address)
	}
}

// sendTargets sends target versions that are new, or whose naming times were corrected, to all boxes, which would learn of them later by
// themselves. A message is dropped if a link is full: the box receives it from other entries too.
func (bl *boxLinks) sendTargets() {
	targets := bl.entry.cfg.View.Targets()
	bl.mu.Lock()
	changed := slices.DeleteFunc(slices.Clone(targets), func(t discovery.ObservedTarget) bool { return slices.Contains(bl.sentTargets, t) })
	bl.sentTargets = targets
	conns := slices.Collect(maps.Values(bl.links))
	bl.mu.Unlock()
	for _, l := range conns {
		for _, target := range changed {
			_ = trySend(l.conn, link.NewTarget(target))
		}
	}
}

// sendEvacuations sends the evacuated sites to all boxes if they have changed: entries that the store does not serve hear of them there.
func (bl *boxLinks) sendEvacuations() {
	known, ok := bl.entry.cfg.View.Evacuations()
	bl.mu.Lock()
	if !ok || known.Equal(bl.sentEvacuations) {
		bl.mu.Unlock()
		return
	}
	bl.sentEvacuations = known
	links := slices.Collect(maps.Values(bl.links))
	bl.mu.Unlock()
	for _, l := range links {
		trySend(l.conn, &link.Evacuations{Known: known})
	}
}

// trySend queues a message and reports whether the link had room.
func trySend(conn *link.Conn, msg link.Message) bool {
	return conn.SendWithin(sendTimeout, msg) == nil
}
