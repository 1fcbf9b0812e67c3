package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// killDelay is the extra time after a stop's grace period until SIGKILL.
const killDelay = time.Second

// process is one daemon. Signals go only to the process started here.
type process struct {
	name string
	args []string
	env  []string
	log  string

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	startedAt       time.Time
	incarnation     int
	paused          bool
	exitExpected    bool
	unexpectedExits []string
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(p.log, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...) //nolint:gosec // The daemon under test.
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.cmd, p.exited, p.startedAt, p.paused, p.exitExpected = cmd, make(chan struct{}), time.Now(), false, false
	p.incarnation++
	go p.wait(cmd, p.exited, out)
	return nil
}

// wait waits for the exit and records it if it was not expected.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	if !p.exitExpected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	p.mu.Unlock()
	close(exited)
}

// running reports whether the process runs; p.mu must be held.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal; mayExit says that the process may exit because of it.
func (p *process) signal(sig syscall.Signal, mayExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	p.exitExpected = p.exitExpected || mayExit
	p.paused = sig == syscall.SIGSTOP || p.paused && sig != syscall.SIGCONT
	_ = p.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.waitExit(0)
}

// stop sends SIGTERM, and SIGKILL once the grace period is over.
func (p *process) stop(grace time.Duration) {
	p.signal(syscall.SIGTERM, true)
	p.waitExit(grace + killDelay)
	p.kill()
}

// waitExit waits for the exit, no longer than limit unless that is 0.
func (p *process) waitExit(limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	if limit == 0 {
		<-exited
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// currentIncarnation returns how many times the process has been started.
func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}
