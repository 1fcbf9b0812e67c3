package standin

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// SettingsVariable is the environment variable with the path of a daemon's settings file.
const SettingsVariable = "CORALSTAIR_NODE_FILE"

// Settings are the settings that the platform gives a daemon.
type Settings struct {
	ID              string
	IP              string
	Zone            string
	Zones           []string
	LinkPort        int
	CallerAddress   string
	ReadyAddress    string
	UpstreamAddress string
	Service         string
	Store           string
	// MemoryMB is the memory of the daemon's machine, Descriptors how many it may have open; 0 means a default.
	MemoryMB    int
	Descriptors int
	Bounds      Bounds
}

// Bounds are the time and retry limits that daemons must keep.
type Bounds struct {
	Contact time.Duration
	Apply   time.Duration
	Drain   time.Duration
	Grace   time.Duration
	Version time.Duration
	// Evacuate is how long requests may still reach an evacuated zone.
	Evacuate time.Duration
	Window   time.Duration
	Ratio    float64
	Slack    int
}

const (
	linkMbps           = 20
	defaultMemoryMB    = 200
	defaultDescriptors = 4100
)

// String returns the content of the settings file.
func (s Settings) String() string {
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("node = %q\nip = %q\nzone = %q\ninnerPorts = [%d, %d]", s.ID, s.IP, s.Zone, s.LinkPort, s.LinkPort+15)
	if s.UpstreamAddress != "" {
		line("app = %q\nservice = %q", s.UpstreamAddress, s.Service)
	}
	line("[zones]")
	for _, zone := range s.Zones {
		line("%s = %q", zone, zone)
	}
	line("[listen]")
	if s.CallerAddress != "" {
		line("front = %q\nready = %q", s.CallerAddress, s.ReadyAddress)
	}
	line("[limits]\nmemoryMb = %d.0\nmaxFds = %d\nlinkMbps = %d.0", cmp.Or(s.MemoryMB, defaultMemoryMB), cmp.Or(s.Descriptors, defaultDescriptors), linkMbps)
	line("[bounds]\ncontactMs = %d\ndrainMs = %d\ngraceS = %g\nversion_ms = %d", s.Bounds.Contact.Milliseconds(),
		s.Bounds.Drain.Milliseconds(), s.Bounds.Grace.Seconds(), s.Bounds.Version.Milliseconds())
	line("retryRatio = %g\nretryWindowS = %g\nretrySlack = %d\nevacuateMs = %d", s.Bounds.Ratio, s.Bounds.Window.Seconds(), s.Bounds.Slack, s.Bounds.Evacuate.Milliseconds())
	line("[platform]\naddress = %q", s.Store)
	return text.String()
}
