package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
)

// TestEndsOfServersAreNoted proves that requests are noted at a server that has ended, and not where a connection alone broke off.
func TestEndsOfServersAreNoted(t *testing.T) {
	const message = "forward: a server ended under requests"
	for name, ends := range map[string]bool{"the server ends": true, "its connection alone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var server *fake
			server = newFake(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				if ends {
					server.end()
				}
				return reset(conn)
			})
			w := newWorld(t, false, server.address)
			said := &lines{}
			w.entry.log = &log.Logger{Handler: said, Level: log.InfoLevel}
			got := w.ask(http.MethodPost, "/once/a", "x", nil)
			if got.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", got.status)
			}
			time.Sleep(4 * endWait)
			line := said.of(message)
			if (line != nil) != ends {
				t.Fatalf("noted: %t, want %t", line != nil, ends)
			}
			if ends && (line.Fields["life"] != serverName(0) || len(line.Fields["requests"].([]string)) != 1) {
				t.Errorf("the line says %v", line.Fields)
			}
			if told := said.of("request").Fields["fingerprint"]; told == nil {
				t.Error("the request's line has no fingerprint")
			}
		})
	}
}
