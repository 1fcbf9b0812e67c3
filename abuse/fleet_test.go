package abuse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
	"github.com/coralstair/coralstair/link"
)

// Limits of the machines under test. A daemon may open as many sockets as descriptors are left by those for files.
const (
	memoryMB    = 100
	descriptors = 1000
)

const (
	callersPort = 8005
	readyPort   = 8002
	linkPort    = 7700
	metricsPort = 9464
	serverPort  = 9001
	storePort   = 8000

	model        = "weights"
	modelService = "drafts"
	plainService = "desk"
	lookPath     = "/look/"
	host         = "crowd.example"
	key          = "key-of-a-team"
	site         = "north"

	startLimit   = 20 * time.Second
	tryLimit     = 3 * time.Second
	idleTimeout  = 15 * time.Second
	routeTimeout = 4 * time.Second
)

// fleet is an entry, two boxes with their model servers, and a plain server, on the users' platform.
type fleet struct {
	entry, box            *process
	entryAddr, boxAddr    string
	readyAddr, entryLinks string
	entryMetrics          string
	boxMetrics            string
	requests              atomic.Int64
	store                 *standin.Store
}

// rigs counts the fleets and services of this run: each has addresses of its own.
var rigs atomic.Int64

// newAddresses returns a function that gives the n-th loopback address of a rig.
func newAddresses() func(n, port int) string {
	rig := rigs.Add(1)
	return func(n, port int) string { return fmt.Sprintf("127.230.%d.%d:%d", rig, n, port) }
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	at := newAddresses()
	f := &fleet{
		store: standin.NewStore(), entryAddr: at(1, callersPort), readyAddr: at(1, readyPort), entryLinks: at(1, linkPort),
		entryMetrics: at(1, metricsPort), boxAddr: at(2, linkPort), boxMetrics: at(2, metricsPort),
	}
	serve(t, at(9, storePort), f.store)
	runs := &standin.Recorder{}
	for n := 2; n <= 4; n++ {
		server := &standin.Server{
			Address: at(n, serverPort), Listen: at(n, serverPort), Service: modelService, Model: model, Zone: site, Slots: 8,
			Store: f.store, Recorder: runs,
		}
		if n == 4 {
			server.Service, server.Model = plainService, ""
		}
		if err := server.Start(1); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Crash)
	}
	f.store.Put(standin.TableDeclared, standin.KeyConfig, config())
	f.entry = f.startDaemon(t, "entry", standin.Settings{IP: ip(at(1, 0)), CallerAddress: f.entryAddr, ReadyAddress: f.readyAddr, Store: at(9, storePort)})
	for n := 2; n <= 3; n++ {
		f.box = f.startDaemon(t, "box", standin.Settings{IP: ip(at(5-n, 0)), UpstreamAddress: at(5-n, serverPort), Service: modelService, Store: at(9, storePort)})
	}
	f.awaitReady(t)
	return f
}

func ip(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}

func (f *fleet) startDaemon(t *testing.T, role string, settings standin.Settings) *process {
	t.Helper()
	settings.ID, settings.Zone, settings.Zones, settings.LinkPort = role+"-"+settings.IP, site, []string{site}, linkPort
	settings.MemoryMB, settings.Descriptors = memoryMB, descriptors
	settings.Bounds = standin.Bounds{
		Contact: 3 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second, Version: 8 * time.Second, Evacuate: 2 * time.Second,
		Window: 10 * time.Second, Ratio: 0.2, Slack: 100,
	}
	path := filepath.Join(t.TempDir(), role+".toml")
	if err := os.WriteFile(path, []byte(settings.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, role, []string{standin.SettingsVariable + "=" + path}, program(t, "coralstaird"), role)
}

// serve starts an HTTP server of the test.
func serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

func config() standin.Config {
	route := standin.Route{
		Name: "look", Host: host, PathPrefix: lookPath, Kind: standin.KindSafe, GoalMs: 500, Priority: 1, Service: plainService,
		TimeoutMs: int(routeTimeout.Milliseconds()), MaxAttempts: 2,
	}
	return standin.Config{
		Version: 1, Routes: []standin.Route{route},
		Services: []standin.Service{
			{Name: plainService, HealthPath: standin.HealthPath, MaxConns: 100},
			{Name: modelService, HealthPath: standin.HealthPath, MaxConns: 100, Engine: &standin.EngineFigures{
				Slots: 8, Stride: 1, Chunk: 2048, StepMs: 3, ReadPerS: 50000, Chunks: standin.Pieces, ChunkBytes: standin.PieceBytes,
				Models: []standin.EngineModel{{Name: model, WarmS: 0.15}}, Usual: standin.UsualRequest{Prompt: 200, Answer: 20},
			}},
		},
		Tenants: []standin.Tenant{{Name: "team", APIKeys: []string{key}}},
		Limits: standin.Limits{
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: int(idleTimeout.Milliseconds()),
		},
	}
}

// awaitReady waits until the daemons serve.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for name, try := range map[string]func(ctx context.Context) error{
		"request": f.ask, "link of a box": f.askBox, "link of an entry": f.askEntryLink, "ready": get(f.readyAddr, "/ready"),
		"metrics of an entry": get(f.entryMetrics, "/metrics"), "metrics of a box": get(f.boxMetrics, "/metrics"),
	} {
		if err := eventually(t.Context(), startLimit, try); err != nil {
			t.Fatalf("%s: %v\n%s", name, err, f.entry.lastLines())
		}
	}
}

// eventually tries until there is no error or limit is over, and returns the last error.
func eventually(ctx context.Context, limit time.Duration, try func(ctx context.Context) error) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		tryCtx, cancel := context.WithTimeout(ctx, tryLimit)
		err := try(tryCtx)
		cancel()
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// ask sends an ordinary request on a new connection.
func (f *fleet) ask(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request := standin.Request{
		ID: fmt.Sprintf("ordinary-%d", f.requests.Add(1)), Host: host, Path: lookPath, Key: key, Timeout: tryLimit,
	}
	if response := request.Send(ctx, client, f.entryAddr); !response.Complete() {
		return fmt.Errorf("status %d: %w, %s", response.Status, response.Err, response.Violation)
	}
	return nil
}

// get returns a function that requests a path on a new connection.
func get(address, path string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return err
		}
		return do(req)
	}
}

// do sends a request on a new connection; any status but 200 is an error.
func do(req *http.Request) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// askBox links to the box as an entry does and waits for a report of its server.
func (f *fleet) askBox(ctx context.Context) error {
	hello := &link.Hello{ID: fmt.Sprintf("ordinary-%d", f.requests.Add(1)), Role: link.RoleEntry, Site: "elsewhere"}
	return talk(ctx, f.boxAddr, hello, func(msg link.Message) bool { _, ok := msg.(*link.Report); return ok })
}

// askEntryLink follows the entry's list of servers as other entries do, until the entry answers.
func (f *fleet) askEntryLink(ctx context.Context) error {
	return talk(ctx, f.entryLinks, &link.Follow{List: true}, func(link.Message) bool { return true })
}

// talk opens a link, sends a message and waits for an answer.
func talk(ctx context.Context, address string, msg link.Message, isAnswer func(link.Message) bool) error {
	conn, err := link.Dial(ctx, http.DefaultClient, address, nil)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if err := conn.Send(ctx, msg); err != nil {
		return err
	}
	for {
		answer, err := conn.Receive()
		if err != nil || isAnswer(answer) {
			return err
		}
	}
}

// fields are the header lines of a crowd's requests to the callers' port.
func fields() string {
	return strings.Join([]string{"X-Request-Id: crowd", "X-Key: " + key, "X-Deadline-Ms: 600000", ""}, "\r\n")
}
