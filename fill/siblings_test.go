package fill

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
)

// TestBoxesOfLeavingServersTakeNoPart checks that no piece is assigned to the box of a leaving server.
func TestBoxesOfLeavingServersTakeNoPart(t *testing.T) {
	s := newSite(t, 4, time.Second)
	s.servers.Present[1].Leaving = true
	s.servers.Present[2].Service = "other"
	source := &fakeSource{servers: s.servers}
	v := discovery.New(source, discovery.Options{})
	go func() { _ = v.ServeServers(t.Context()) }()
	for len(v.Servers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b := New(Config{View: v, Machine: machine.Machine{Address: s.host(0), Site: "site0", Service: "s", LinkRate: 1e6}})
	var ids []string
	for _, member := range b.siblings() {
		ids = append(ids, member.ID)
	}
	if len(ids) != 2 || ids[0] != s.host(0) || ids[1] != s.host(3) {
		t.Errorf("siblings are %v, want this box and %s", ids, s.host(3))
	}
}
