package abuse

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/client"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/lab"
	"github.com/coralstair/coralstair/membership"
)

// Names of the product's own path. Its daemons have no setting for memory, so the default holds.
const (
	ownMemoryMB  = 512
	ownFleet     = "fleet"
	ownService   = "ledger"
	ownPath      = "/services/" + ownService + "/look"
	operatorKey  = "key-of-an-operator"
	ownEntryPort = 7300
	ownBoxPort   = 7400
)

// service is an entry and a box of the product's own path before a plain service.
type service struct {
	entry, box         *process
	entryAddr, boxAddr string
}

func newService(t *testing.T) *service {
	t.Helper()
	return newServiceBefore(t, func(address string) { serve(t, address, new(lab.Plain).Handler()) })
}

// newServiceBefore returns a service whose upstream is started at an address.
func newServiceBefore(t *testing.T, startUpstream func(address string)) *service {
	t.Helper()
	at := newAddresses()
	s := &service{entryAddr: at(1, ownEntryPort), boxAddr: at(2, ownBoxPort)}
	platform := &lab.Platform{}
	platform.Live.Put(membership.Member{ID: "box-1", Role: membership.RoleBox, Fleet: ownFleet, Site: site, Address: s.boxAddr, Service: ownService})
	serve(t, at(9, storePort), platform.Handler())
	startUpstream(at(3, serverPort))
	dir := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	secret := write("secret", "secret")
	keysFile := write("keys", "operate op "+keys.Hash(operatorKey), "team team "+keys.Hash(key))
	common := func(id, address string) string {
		return strings.Join([]string{
			"[daemon]", "id = " + id, "fleet = " + ownFleet, "site = " + site, "listen = " + address,
			"[platform]", "table-url = http://" + at(9, storePort) + "/table", "object-url = http://" + at(9, storePort) + "/objects",
			"live-url = http://" + at(9, storePort) + "/live", "secret-file = " + secret, "list-interval = 500ms",
		}, "\n")
	}
	s.entry = startLimited(t, "entry", write("entry.ini", common("entry-1", s.entryAddr), "[entry]", "keys-file = "+keysFile))
	s.box = startLimited(t, "box", write("box.ini", common("box-1", s.boxAddr),
		"[box]", "service = "+ownService, "kind = plain", "upstream-url = http://"+at(3, serverPort)))
	operator := &client.Client{Entries: []string{"http://" + s.entryAddr}, Key: operatorKey, HTTP: http.DefaultClient}
	for _, statement := range []string{"create fleet " + ownFleet, "create service " + ownService + " in " + ownFleet + " kind plain replicas 1"} {
		if err := eventually(t.Context(), startLimit, func(ctx context.Context) error {
			_, err := operator.Do(ctx, statement, 0)
			return err
		}); err != nil {
			t.Fatalf("%s: %v\n%s", statement, err, s.entry.lastLines())
		}
	}
	if err := eventually(t.Context(), startLimit, s.ask); err != nil {
		t.Fatalf("%v\n%s", err, s.entry.lastLines())
	}
	return s
}

// startLimited starts a daemon of the product's own path with a limit on its descriptors.
func startLimited(t *testing.T, role, settings string) *process {
	t.Helper()
	return startProcess(t, role, nil, "/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), program(t, "coralstair"), role, settings)
}

// ask sends an ordinary request on a new connection.
func (s *service) ask(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entryAddr+ownPath, strings.NewReader("hello"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return do(req)
}
