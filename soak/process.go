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

// stopGrace is how long after the bound on a planned stop a process is killed.
const stopGrace = time.Second

// process is one daemon; it ends only what it started itself, by its id.
type process struct {
	name string
	args []string
	env  []string
	log  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	began   time.Time
	life    int
	paused  bool
	planned bool
	crashes []string
}

// start starts the process unless it runs.
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
	p.cmd, p.ended, p.began, p.paused, p.planned = cmd, make(chan struct{}), time.Now(), false, false
	p.life++
	go p.wait(cmd, p.ended, out)
	return nil
}

// wait notes an end that nobody asked for.
func (p *process) wait(cmd *exec.Cmd, ended chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	if !p.planned {
		p.crashes = append(p.crashes, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.mu.Unlock()
	close(ended)
}

// running reports whether the process runs; mu is held.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal; ends says that the process may end by it.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	p.planned = p.planned || ends
	p.paused = sig == syscall.SIGSTOP || p.paused && sig != syscall.SIGCONT
	_ = p.cmd.Process.Signal(sig)
}

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.gone(0)
}

// stop asks for a planned stop; after grace the process is killed.
func (p *process) stop(grace time.Duration) {
	p.signal(syscall.SIGTERM, true)
	p.gone(grace + stopGrace)
	p.kill()
}

// gone waits until the process has ended, not longer than a limit unless that is 0.
func (p *process) gone(limit time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	if limit == 0 {
		<-ended
		return
	}
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

// lifeNow returns the number of the process's life.
func (p *process) lifeNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}
