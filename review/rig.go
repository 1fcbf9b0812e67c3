package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports at the addresses of a rig; each machine has an address of its own.
const (
	callersPort = 8005
	readyPort   = 8002
	linkPort    = 7700
	serverPort  = 8001
	storePort   = 8007
	originPort  = 8006
	metricsPort = 9464

	firstBlock = 20
	lastBlock  = 219
	// mostMachines is the most machines of a group.
	mostMachines = 8
	// entryCount is the number of entries in front of model servers, usualEvents that of the events of a stream.
	entryCount  = 3
	usualEvents = 10

	// startTimeout bounds the time until entries are ready.
	startTimeout = 15 * time.Second
)

// Groups of addresses.
const (
	groupEntry = iota + 1
	groupSide
	groupPlain
	groupPlatform
)

var zones = []string{"hall-a", "hall-b"}

// rig is a small deployment: entries, boxes beside model servers, and stand-ins of all else.
type rig struct {
	*record
	// trouble is unset if the case is played without its disruption.
	trouble bool
	dir     string
	block   int
	store   *store
	// events is how many events clients ask for in a stream.
	events int
	// streams are the requests that model servers ran.
	streams runLog
	// answers are the numbers of events of the answers that ended as complete.
	answersMu sync.Mutex
	answers   map[string]int
	daemons   []*daemon
	entries   []string
	closers   []func()
}

// newRig takes a free block of loopback addresses and starts the store in it.
func newRig(rec *record, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, trouble: trouble, dir: dir, events: usualEvents, store: newStore(), answers: make(map[string]int)}
	r.closers = append(r.closers, func() { _ = os.RemoveAll(dir) })
	for range lastBlock - firstBlock {
		r.block = firstBlock + rand.IntN(lastBlock-firstBlock+1)
		if err = r.checkBlock(); err != nil {
			continue
		}
		if err = r.serve(r.address(groupPlatform, 1, storePort), r.store); err == nil {
			rec.line("addresses 127.%d.0.0/16, disruption %t", r.block, trouble)
			return r, nil
		}
	}
	r.close()
	return nil, err
}

// checkBlock checks that the ports of all machines are free in the block.
func (r *rig) checkBlock() error {
	for group := groupEntry; group <= groupPlatform; group++ {
		for n := 1; n <= mostMachines; n++ {
			for _, port := range []int{callersPort, readyPort, linkPort, serverPort, storePort, originPort, metricsPort} {
				listener, err := net.Listen("tcp", r.address(group, n, port))
				if err != nil {
					return err
				}
				_ = listener.Close()
			}
		}
	}
	return nil
}

func (r *rig) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", r.block, group, n) }

func (r *rig) address(group, n, port int) string { return fmt.Sprintf("%s:%d", r.ip(group, n), port) }

// serve starts an HTTP server for a stand-in.
func (r *rig) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	r.closers = append(r.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// addEntry starts the n-th entry, counted from 1.
func (r *rig) addEntry(n int) error {
	ip := r.ip(groupEntry, n)
	r.entries = append(r.entries, r.address(groupEntry, n, callersPort))
	return r.addDaemon("entry", fmt.Sprintf("front-%d", n), ip, zones[(n-1)%len(zones)], fmt.Sprintf(
		"[listen]\nfront = %q\nready = %q\n[limits]\ncpuShare = 0.304\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n",
		r.address(groupEntry, n, callersPort), r.address(groupEntry, n, readyPort)), "")
}

// addBox starts the box beside the n-th model server.
func (r *rig) addBox(n int, service string) error {
	ip := r.ip(groupSide, n)
	return r.addDaemon("box", fmt.Sprintf("side-%d", n), ip, zones[(n-1)%len(zones)],
		"[listen]\n[limits]\ncpuShare = 0.48\ncores = 1\nmemoryMb = 152\nmaxFds = 2048\nlinkMbps = 7.6\ndiskMb = 0\n",
		fmt.Sprintf("app = %q\nservice = %q\n", r.address(groupSide, n, serverPort), service))
}

// addDaemon writes a daemon's settings, in the form that the platform gives them, and starts it.
func (r *rig) addDaemon(role, name, ip, zone, tables, fields string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\nrole = %q\nip = %q\nzone = %q\nregion = %q\ninnerPorts = [%d, %d]\nheartbeatMs = 1200\n",
		name, role, ip, zone, "area-of-"+zone, linkPort, linkPort+15)
	text.WriteString(fields + "[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = %q\n", zone, "area-of-"+zone)
	}
	text.WriteString(tables + boundsText)
	fmt.Fprintf(&text, "[platform]\naddress = %q\nform = \"table\"\n", r.address(groupPlatform, 1, storePort))
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return err
	}
	d := &daemon{name: name, role: role, settings: path, log: filepath.Join(r.dir, name+".log")}
	r.daemons = append(r.daemons, d)
	r.closers = append(r.closers, d.kill)
	r.line("start %s: %s %s", name, daemonPath, role)
	return d.start()
}

// boundsText are the bounds of a small installation.
const boundsText = `[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 106
recoveryS = 12
passMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
`

// awaitReady waits until all entries call themselves ready.
func (r *rig) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for n := range r.entries {
		for !isReady(ctx, r.address(groupEntry, n+1, readyPort)) {
			if ctx.Err() != nil {
				return fmt.Errorf("entry %d is not ready: %w", n+1, ctx.Err())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.line("all entries are ready")
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// takeAnswer records an answer that ended as complete at its client.
func (r *rig) takeAnswer(id string, events int) {
	r.answersMu.Lock()
	defer r.answersMu.Unlock()
	r.answers[id] = events
}

// unexpectedExits returns the daemons that ended by themselves.
func (r *rig) unexpectedExits() []string {
	var ended []string
	for _, d := range r.daemons {
		if d.endedByItself() {
			ended = append(ended, d.name)
		}
	}
	return ended
}

// close ends all that the rig has started, in reverse order.
func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
