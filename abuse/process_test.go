package abuse

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// process is a daemon under test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// startProcess starts a program that ends with the test.
func startProcess(t *testing.T, name string, env []string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(args[0], args[1:]...), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), name+".log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = append(os.Environ(), env...), out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// lastLines returns the end of the process's log.
func (p *process) lastLines() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// proc returns the path of a file that describes the process.
func (p *process) proc(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// resident returns the resident memory in bytes; 0 once the process has ended.
func (p *process) resident() int64 {
	status, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	open, err := os.ReadDir(p.proc("fd"))
	if err != nil {
		return 0
	}
	return len(open)
}

// listening is the state of a listening socket in /proc/net/tcp, where the receive queue counts connections.
const listening = "0A"

// unread returns the bytes that arrived on connections to a local address, in the form of /proc/net/tcp, and were not read.
func unread(local string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue ...
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}

// hexAddress returns an IPv4 address and port as they stand in /proc/net/tcp of a little-endian machine.
func hexAddress(t *testing.T, address string) string {
	t.Helper()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), number)
}

// programs is the folder of the daemons' programs.
var programs string

// build builds the programs on first use.
var build = sync.OnceValue(func() error {
	if out, err := exec.Command("go", "build", "-o", programs, "../cmd/coralstaird", "../cmd/coralstair").CombinedOutput(); err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	return nil
})

// program returns the path of a daemon's program.
func program(t *testing.T, name string) string {
	t.Helper()
	if err := build(); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(programs, name)
}

func TestMain(m *testing.M) {
	os.Exit(runIn(m))
}

// runIn runs the tests with a folder for the programs.
func runIn(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "abuse"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(programs) }()
	return m.Run()
}
