package lab

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/box"
	"github.com/coralstair/coralstair/client"
	"github.com/coralstair/coralstair/dynamo"
	"github.com/coralstair/coralstair/entry"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/stricthttp"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/weights"
)

// Names of the rig's fleet and services.
const (
	RigFleet   = "lab"
	RigService = "drafts"
	RigLedger  = "ledger"

	rigSecret       = "secret"
	rigBucket       = "weights"
	rigListInterval = 500 * time.Millisecond
	pollInterval    = 10 * time.Millisecond
)

// RigConfig configures a rig.
type RigConfig struct {
	Boxes, Sites, Entries int
	// PlainBoxes is the number of additional boxes with a plain service.
	PlainBoxes int
	// Teams is the number of teams with keys.
	Teams int
	// Slots limits an engine's concurrent answers; 0 means no limit.
	Slots     int
	TokenTime time.Duration
	// LinkRate is the link rate configured at the boxes, in bytes per second; 0 means unknown.
	LinkRate int64
	Params   swarm.Params
	Seed     uint64
	Checks   *invariant.Recorder
	// Picker returns an entry's picker; nil selects the default.
	Picker func() entry.Picker
}

// Rig runs the whole system in one process: real daemons on loopback with fakes of the external systems.
type Rig struct {
	Platform *Platform
	Entries  []*RigEntry
	Boxes    []*RigBox
	Checks   *invariant.Recorder

	cfg         RigConfig
	ctx         context.Context
	cancel      context.CancelFunc
	platformURL string
	ring        *keys.Ring
	operator    string
	teams       []string
	running     sync.WaitGroup
}

// RigBox is one box of a rig.
type RigBox struct {
	ID, Site string
	Service  string
	Address  string
	Link     *Link
	Engine   *Engine
	Plain    *Plain

	rig         *Rig
	kind        fleet.Kind
	upstreamURL string

	mu     sync.Mutex
	daemon *box.Box
	cancel context.CancelFunc
	done   chan struct{}
}

// RigEntry is one entry of a rig.
type RigEntry struct {
	ID  string
	URL string

	daemon *entry.Entry
	cancel context.CancelFunc
	done   chan struct{}
}

// NewRig starts a rig; Close stops it.
func NewRig(cfg RigConfig) (*Rig, error) {
	if cfg.Checks == nil {
		cfg.Checks = new(invariant.Recorder)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rig{Platform: new(Platform), Checks: cfg.Checks, cfg: cfg, ctx: ctx, cancel: cancel}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Client returns a client of all entries with the operator's key.
func (r *Rig) Client() *client.Client {
	c := &client.Client{Key: r.operator}
	for _, e := range r.Entries {
		c.Entries = append(c.Entries, e.URL)
	}
	return c
}

// Env writes key files to dir and returns the environment with which the command line reaches the rig.
func (r *Rig) Env(dir string) ([]string, error) {
	keyFile, secretFile := filepath.Join(dir, "operator.key"), filepath.Join(dir, "secret")
	err := errors.Join(
		os.WriteFile(keyFile, []byte(r.operator+"\n"), 0o600),
		os.WriteFile(secretFile, []byte(rigSecret), 0o600),
	)
	return []string{
		"CORALSTAIR_ENTRY=" + r.Entries[0].URL, "CORALSTAIR_KEY_FILE=" + keyFile,
		"CORALSTAIR_OBJECT_URL=" + r.platformURL + "/objects", "CORALSTAIR_SECRET_FILE=" + secretFile,
	}, err
}

// Caller returns a caller with a team's key that sends to an entry; both are indices.
func (r *Rig) Caller(team, entry int) *Caller {
	return &Caller{URL: r.Entries[entry].URL, Key: r.teams[team]}
}

// Close stops everything that the rig started and waits for it.
func (r *Rig) Close() {
	r.cancel()
	r.running.Wait()
}

// Do executes statements one after another.
func (r *Rig) Do(ctx context.Context, statements ...string) error {
	c := r.Client()
	for _, text := range statements {
		if _, err := c.Do(ctx, text, 0); err != nil {
			return fmt.Errorf("%s: %w", text, err)
		}
	}
	return nil
}

// Objects returns a client of the object store that uses no simulated link.
func (r *Rig) Objects() *dynamo.Objects { return r.objects(nil) }

// Publish stores weights of size bytes, generated from seed, and returns the manifest's digest and the manifest.
func (r *Rig) Publish(ctx context.Context, name string, size, chunkSize int64, seed uint64) (weights.Digest, weights.Manifest, error) {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	source := io.LimitReader(mathrand.NewChaCha8(key), size)
	return weights.Publish(ctx, r.Objects(), name, source, chunkSize)
}

// CountServing counts the boxes that serve the weights with a digest.
func (r *Rig) CountServing(digest string) int {
	n := 0
	for _, b := range r.Boxes {
		if b.Serves(digest) {
			n++
		}
	}
	return n
}

// Wait polls until a condition holds; it returns false on timeout.
func (r *Rig) Wait(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func (r *Rig) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.platformURL = "http://" + listener.Addr().String()
	r.serve(listener, r.Platform.Handler())
	if err := r.makeKeys(); err != nil {
		return err
	}
	for i := range r.cfg.Boxes + r.cfg.PlainBoxes {
		b, err := r.newBox(i)
		if err != nil {
			return err
		}
		r.Boxes = append(r.Boxes, b)
		if err := b.Start(); err != nil {
			return err
		}
	}
	for i := range max(1, r.cfg.Entries) {
		if err := r.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// serve serves HTTP on a listener until the rig is closed.
func (r *Rig) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		_ = server.Serve(listener)
	}()
	context.AfterFunc(r.ctx, func() { _ = server.Close() })
}

func (r *Rig) makeKeys() error {
	var lines strings.Builder
	r.operator = rand.Text()
	fmt.Fprintf(&lines, "operate op %s\n", keys.Hash(r.operator))
	for i := range max(1, r.cfg.Teams) {
		secret := rand.Text()
		r.teams = append(r.teams, secret)
		fmt.Fprintf(&lines, "team team-%d %s\n", i, keys.Hash(secret))
	}
	ring, err := keys.Read(strings.NewReader(lines.String()))
	r.ring = ring
	return err
}

func (r *Rig) table() *dynamo.Table {
	return dynamo.NewTable(dynamo.TableConfig{
		Endpoint: r.platformURL + PathTable, Table: "coralstair", Region: "local",
		Credentials: dynamo.Credentials{ID: "lab", Secret: rigSecret}, Client: pooledClient(nil),
	})
}

func (r *Rig) objects(dial dialFunc) *dynamo.Objects {
	return dynamo.NewObjects(dynamo.ObjectsConfig{
		Endpoint: r.platformURL + "/objects", Bucket: rigBucket, Region: "local",
		Credentials: dynamo.Credentials{ID: "lab", Secret: rigSecret}, Client: pooledClient(dial),
	})
}

func (r *Rig) liveList() *dynamo.LiveList {
	return &dynamo.LiveList{URL: r.platformURL + PathLive}
}

func (r *Rig) startEntry(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &RigEntry{ID: "entry-" + strconv.Itoa(i), URL: "http://" + listener.Addr().String(), done: make(chan struct{})}
	table := r.table()
	var picker entry.Picker
	if r.cfg.Picker != nil {
		picker = r.cfg.Picker()
	}
	e.daemon = entry.New(entry.Config{
		ID: e.ID, Fleet: RigFleet, Site: r.site(i), Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		Listener: listener, Ledger: ledger.New(table), Claims: table, List: r.liveList(), ListInterval: rigListInterval,
		Keys: r.ring, Checks: r.Checks, Picker: picker,
	})
	ctx, cancel := context.WithCancel(r.ctx)
	e.cancel = cancel
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer close(e.done)
		_ = e.daemon.Serve(ctx)
	}()
	r.Entries = append(r.Entries, e)
	return nil
}

func (r *Rig) site(i int) string {
	return "site-" + strconv.Itoa(i%max(1, r.cfg.Sites))
}

// newBox returns a box with its link and a running upstream; Start starts the daemon.
func (r *Rig) newBox(i int) (*RigBox, error) {
	b := &RigBox{
		ID: fmt.Sprintf("box-%03d", i), Site: r.site(i), Service: RigService, kind: fleet.KindModel,
		Link: NewLink(0, r.cfg.Seed+uint64(i)), rig: r,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.upstreamURL = "http://" + listener.Addr().String()
	if i >= r.cfg.Boxes {
		b.Service, b.kind, b.Plain = RigLedger, fleet.KindPlain, new(Plain)
		r.serve(listener, b.Plain.Handler())
		return b, nil
	}
	b.Engine = &Engine{TokenTime: r.cfg.TokenTime, Slots: r.cfg.Slots}
	r.serve(listener, b.Engine.Handler())
	return b, nil
}

// Leave drains and stops the daemon, then removes it from the live list.
func (b *RigBox) Leave(ctx context.Context) {
	b.Daemon().Leave(ctx)
	b.Kill()
	b.rig.Platform.Live.Remove(b.ID)
}

// Daemon returns the daemon started last.
func (b *RigBox) Daemon() *box.Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.daemon
}

// Kill stops the daemon without draining, as a power loss does; the box stays on the live list.
func (b *RigBox) Kill() {
	b.mu.Lock()
	cancel, done := b.cancel, b.done
	b.mu.Unlock()
	cancel()
	<-done
}

// Serves reports whether the engine runs the weights with a digest and the daemon accepts requests.
func (b *RigBox) Serves(digest string) bool {
	if b.Engine == nil {
		return false
	}
	daemon := b.Daemon()
	heartbeat := daemon.Heartbeat()
	return heartbeat.Service.Open && b.Engine.State().Digest == digest
}

// Start starts a new daemon for the box and puts it on the live list.
func (b *RigBox) Start() error {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	local, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	table := b.rig.table()
	pacer := bandwidth.New(b.rig.cfg.LinkRate)
	daemon := box.New(box.Config{
		ID: b.ID, Fleet: RigFleet, Site: b.Site, Service: b.Service, Kind: b.kind, Incarnation: incarnation,
		Listener: b.Link.Listener(inner), Advertise: local.Addr().String(), UpstreamURL: b.upstreamURL,
		Params: b.rig.cfg.Params, Ledger: ledger.New(table), Table: table, Origin: b.rig.objects(pacer.Dialer(b.Link.Dial)), Pacer: pacer,
		List: b.rig.liveList(), ListInterval: rigListInterval, LinkClient: pooledClient(b.Link.Dial), Checks: b.rig.Checks,
		Slots: b.rig.cfg.Slots, ResumesStreams: true,
	})
	ctx, cancel := context.WithCancel(b.rig.ctx)
	done := make(chan struct{})
	b.mu.Lock()
	b.daemon, b.cancel, b.done, b.Address = daemon, cancel, done, inner.Addr().String()
	b.mu.Unlock()
	b.rig.serve(local, daemon.Handler())
	b.rig.running.Add(1)
	go func() {
		defer b.rig.running.Done()
		defer close(done)
		_ = daemon.Serve(ctx)
	}()
	b.rig.Platform.Live.Put(membership.Member{
		ID: b.ID, Role: membership.RoleBox, Fleet: RigFleet, Site: b.Site, Address: inner.Addr().String(),
		Service: b.Service, Incarnation: incarnation,
	})
	return nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pooledClient returns an HTTP client with its own connection pool; a nil dial uses the default.
func pooledClient(dial dialFunc) *http.Client {
	return &http.Client{Transport: stricthttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, DialContext: dial})}
}
