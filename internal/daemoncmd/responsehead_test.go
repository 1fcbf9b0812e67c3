package daemoncmd

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/lab/rawhttp"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/quarantine"
)

// storeCalls are the calls of a daemon to the store.
var storeCalls = map[string]func(ctx context.Context, address string) error{
	"configuration": func(ctx context.Context, address string) error {
		_, err := platform.NewStore(address, newClient()).Declared(ctx)
		return err
	},
	"servers": func(ctx context.Context, address string) error {
		_, err := platform.NewStore(address, newClient()).Servers(ctx)
		return err
	},
	"feed of servers": func(ctx context.Context, address string) error {
		_, err := platform.NewStore(address, newClient()).ServersAfter(ctx, discovery.Cursor{}, time.Second)
		return err
	},
	"records": func(ctx context.Context, address string) error {
		_, _, err := platform.NewStore(address, newClient()).Records(ctx)
		return err
	},
	"write of records": func(ctx context.Context, address string) error {
		return platform.NewStore(address, newClient()).WriteRecords(ctx, quarantine.Records{Removed: []string{"r"}})
	},
	"naming times": func(ctx context.Context, address string) error {
		_, err := platform.NewStore(address, newClient()).Namings(ctx)
		return err
	},
	"probe": func(ctx context.Context, address string) error {
		return platform.NewStore(address, newClient()).Probe(ctx)
	},
}

// TestInvalidHeadsAreNotBelieved guards against responses of servers, origins and the store that net/http accepts although their heads are
// invalid.
func TestInvalidHeadsAreNotBelieved(t *testing.T) {
	all := maps.Clone(calls)
	maps.Copy(all, storeCalls)
	for call, do := range all {
		for name, response := range rawhttp.InvalidHeads() {
			t.Run(call+", "+name, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				go rawhttp.Serve(listener, func(conn *net.TCPConn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, response)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				if do(ctx, listener.Addr().String()) == nil {
					t.Error("taken for an answer")
				}
			})
		}
	}
}
