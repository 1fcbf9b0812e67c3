package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	storePort  = 8000
	originPort = 8006
	frontPort  = 8005
	readyPort  = 8002
	innerPort  = 7700
	serverPort = 9001
	settle     = 4 * time.Second
	killWait   = 9 * time.Second

	host   = "desk.example"
	apiKey = "key-of-a-tenant"
	tenant = "tenant"
)

var zones = []string{"ub-hall-a", "darkhan-hall", "khovd-hall"}

// bounds are those of the small deployment batbayar-rosters.
var bounds = standin.Bounds{
	Contact: 3 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second, Version: 8 * time.Second,
	Evacuate: 5 * time.Second, Window: 10 * time.Second, Ratio: 0.2, Slack: 106,
}

// rig is the system with its platform: a store, daemons as processes, and whatever a case adds.
type rig struct {
	*record
	daemon  string
	dir     string
	block   int
	store   *standin.Store
	closers []func()
}

// newRig starts the store in the first block of loopback addresses that is free.
func newRig(daemon string, rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, daemon: daemon, dir: dir, store: standin.NewStore()}
	for r.block = 60 + os.Getpid()%100; r.block < 220; r.block++ {
		if err = r.serve(addr(r.ip(9, 1), storePort), r.store); err == nil {
			return r, nil
		}
	}
	return nil, err
}

// ip returns a loopback address of this run.
func (r *rig) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", r.block, group, n) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// serve starts an HTTP server for a stand-in.
func (r *rig) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	r.closers = append(r.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	_ = os.RemoveAll(r.dir)
}

// process is one daemon.
type process struct {
	rig      *rig
	name     string
	role     string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// startDaemon starts a daemon with settings like those that the platform gives it.
func (r *rig) startDaemon(role, name string, settings standin.Settings) (*process, error) {
	settings.ID, settings.Zones, settings.Store, settings.Bounds = name, zones, addr(r.ip(9, 1), storePort), bounds
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings.String()), 0o600); err != nil {
		return nil, err
	}
	p := &process{rig: r, name: name, role: role, settings: path}
	r.closers = append(r.closers, p.kill)
	return p, p.start()
}

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.rig.daemon, p.role)
	p.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	p.rig.notef("process %s started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.rig.notef("process %s gets %s", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.done == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	select {
	case <-p.done:
	case <-time.After(killWait):
	}
}

// startEntry starts an entry and returns the address for clients.
func (r *rig) startEntry(n int) (*process, string, error) {
	ip := r.ip(1, n)
	p, err := r.startDaemon("entry", fmt.Sprintf("front-%d", n), standin.Settings{
		IP: ip, Zone: zones[n%len(zones)], LinkPort: innerPort, CallerAddress: addr(ip, frontPort), ReadyAddress: addr(ip, readyPort),
	})
	return p, addr(ip, frontPort), err
}

// waitReady waits until an entry calls itself ready.
func (r *rig) waitReady(n int) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + addr(r.ip(1, n), readyPort) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("an entry did not become ready")
}
