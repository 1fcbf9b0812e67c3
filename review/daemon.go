package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// daemonPath is the program that the deploy file builds and runs.
const daemonPath = "target/coralstaird"

// settingsVariable names the daemon's settings file.
const settingsVariable = "CORALSTAIR_NODE_FILE"

// daemon is one of the project's processes. Signals go only to the process started here.
type daemon struct {
	name, role, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	killed bool
	exited chan struct{}
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonPath, d.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// Should this process be killed, the daemon ends too.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.killed, d.exited = cmd, false, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(d.exited)
	return nil
}

// signal sends the process a signal.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig)
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.killed = true
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// endedByItself reports whether the process has ended without being killed.
func (d *daemon) endedByItself() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.killed {
		return false
	}
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}
