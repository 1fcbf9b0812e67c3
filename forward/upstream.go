package forward

import (
	"sync"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/link"
)

const (
	// reportLife is how long a report counts as what a server does.
	reportLife = 1500 * time.Millisecond
	// reportUsual is how old the latest report of a box usually is at most.
	reportUsual = 600 * time.Millisecond
	// firstPause and maxPause bound how long a server is left alone after failures, longer for each in a row.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// failuresBeforePause is how many failures in a row leave a server alone.
	failuresBeforePause = 2
)

// upstream is one server as this entry sees it.
type upstream struct {
	mu     sync.Mutex
	server contract.Server
	// missing says that the server is no longer listed, which may be a lapse of the list.
	missing bool

	// inFlight are this entry's requests there, reading those without a first event, unread their prompt tokens.
	inFlight int
	reading  int
	unread   int

	report   link.Report
	reportAt time.Time
	// othersWriting and othersReading are what the latest report counted beyond this entry's own.
	othersWriting int
	othersReading int

	failures int
	pause    time.Duration
	until    time.Time
	// denied is when the server itself said that it is not what the list says.
	denied time.Time
}

// ticket is one request at a server, from its sending to its end.
type ticket struct {
	up     *upstream
	prompt int
	first  bool
	done   bool
}

// take counts a request that is about to be sent.
func (u *upstream) take(prompt int) *ticket {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.reading++
	u.unread += prompt
	return &ticket{up: u, prompt: prompt}
}

// begun notes that the first event has come.
func (t *ticket) begun() {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	t.begunLocked()
}

func (t *ticket) begunLocked() {
	if t.first {
		return
	}
	t.first = true
	t.up.reading--
	t.up.unread -= t.prompt
}

// end notes that the request is no longer at the server.
func (t *ticket) end() {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.begunLocked()
	t.up.inFlight--
}

// heard takes a report in; own requests are subtracted, so that what others do there remains.
func (u *upstream) heard(report link.Report, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report, u.reportAt = report, now
	u.othersReading = max(0, report.Waiting-u.reading)
	u.othersWriting = max(0, report.Running-(u.inFlight-u.reading))
	u.denied = time.Time{}
}

// listed takes the server's entry on the list.
func (u *upstream) listed(server contract.Server, missing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server, u.missing = server, missing
	u.denied = time.Time{}
}

// load returns what is believed to be at the server now.
func (u *upstream) load(e *contract.Engine, now time.Time) engine.Load {
	load := engine.Load{Writing: u.inFlight - u.reading, Reading: u.reading, Unread: u.unread}
	if now.Sub(u.reportAt) < reportLife {
		load.Writing += u.othersWriting
		load.Reading += u.othersReading
		load.Unread += u.othersReading * e.UsualPrompt
		load.Slow = u.report.Slow
	}
	return load
}

// version returns the version of a model that the server is believed to run.
func (u *upstream) version(model string, now time.Time) contract.Version {
	if now.Sub(u.reportAt) < reportLife && u.report.Server == u.server.ID && (model == "" || u.report.Model == model) {
		return contract.Version(u.report.Version)
	}
	return u.server.Runs(model)
}

// closing reports whether the server's box has said that it takes nothing new.
func (u *upstream) closing(now time.Time) bool {
	return u.report.Closing && now.Sub(u.reportAt) < reportLife
}

// filled reports whether the server's box holds all pieces of the version that should run.
func (u *upstream) filled(now time.Time) bool {
	return u.report.Filled && now.Sub(u.reportAt) < reportLife
}

// silence returns what a server counts as more whose reports are late: its link may be jammed.
func (u *upstream) silence(now time.Time) time.Duration {
	if u.reportAt.IsZero() {
		return 0
	}
	return max(now.Sub(u.reportAt)-reportUsual, 0)
}

// overrun returns by how much a request that takes so long would outlast the time until the server takes nothing new:
// what still runs then keeps the server from loading.
func (u *upstream) overrun(takes time.Duration, now time.Time) time.Duration {
	if u.report.Closes == 0 || now.Sub(u.reportAt) > reportLife {
		return 0
	}
	return max(takes-(u.report.Closes-now.Sub(u.reportAt)), 0)
}

// failed notes a failure; after several in a row the server is left alone for a time.
func (u *upstream) failed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures++
	if u.failures < failuresBeforePause {
		return
	}
	u.pause = min(max(2*u.pause, firstPause), maxPause)
	u.until = now.Add(u.pause)
}

// unreachable notes that no connection came about, which counts as all failures at once.
func (u *upstream) unreachable(now time.Time) {
	u.mu.Lock()
	u.failures = max(u.failures, failuresBeforePause)
	u.mu.Unlock()
	u.failed(now)
}

// deny notes that the server itself said that it is not what the list says.
func (u *upstream) deny(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.denied = now
}

func (u *upstream) succeeded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures, u.pause, u.until = 0, 0, time.Time{}
}
