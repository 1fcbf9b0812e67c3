package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
)

// TestEndsOfServersAreNoted checks that requests lost by the exit of a server are recorded, and those lost by a broken connection
// alone are not.
func TestEndsOfServersAreNoted(t *testing.T) {
	const message = "forward: a server ended under requests"
	for name, exits := range map[string]bool{"server exits": true, "connection breaks": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var server *fakeServer
			server = newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				if exits {
					server.end()
				}
				return reset(conn)
			})
			w := newTestEnv(t, false, server.address)
			logs := &logRecorder{}
			w.entry.log = &log.Logger{Handler: logs, Level: log.InfoLevel}
			got := w.ask(http.MethodPost, "/once/a", "x", nil)
			if got.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", got.status)
			}
			time.Sleep(4 * exitCheckTimeout)
			line := logs.of(message)
			if (line != nil) != exits {
				t.Fatalf("exit logged: %t, want %t", line != nil, exits)
			}
			if exits && (line.Fields["life"] != serverName(0) || len(line.Fields["requests"].([]string)) != 1) {
				t.Errorf("exit logged with fields %v", line.Fields)
			}
			if fingerprint := logs.of("request").Fields["fingerprint"]; fingerprint == nil {
				t.Error("request logged without a fingerprint")
			}
		})
	}
}
