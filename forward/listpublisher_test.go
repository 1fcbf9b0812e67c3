package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/peersource"
)

// TestFollowersOfTheListHaveItWhole applies random changes with followers joining at any time, and checks that each follower has the
// full list after each message.
func TestFollowersOfTheListHaveItWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	var lp listPublisher
	list := make(map[string]discovery.ListedServer)
	type listener struct {
		listFollower
		source *peersource.Source
	}
	var listeners []*listener
	for round := range 300 {
		for range rng.IntN(3) {
			id := fmt.Sprint(rng.IntN(12))
			switch rng.IntN(4) {
			case 0:
				delete(list, id)
			case 1:
				list[id] = discovery.ListedServer{Server: contract.Server{ID: id}, MissingSince: now}
			default:
				list[id] = discovery.ListedServer{Server: contract.Server{ID: id, Slots: rng.IntN(3), Loaded: map[string]contract.Version{"m": contract.Version(rng.IntN(2))}}}
			}
		}
		if rng.IntN(20) == 0 {
			listeners = append(listeners, &listener{source: peersource.New(nil)})
		}
		var servers []discovery.ListedServer
		for _, server := range list {
			servers = append(servers, server)
		}
		lp.update(servers)
		now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
		for i, l := range listeners {
			if data := lp.next(&l.listFollower, now); data != nil {
				msg, err := link.Decode(data)
				if err != nil {
					t.Fatal(err)
				}
				l.source.ApplyServers(msg.(*link.Servers))
			}
			whole, err := l.source.Servers(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			want := listedByID(servers)
			if !slices.EqualFunc(sortedByID(whole.Present), sortedByID(valuesOf(want)), contract.Server.Equal) {
				t.Fatalf("round %d: follower %d has %v, want %v", round, i, whole.Present, want)
			}
		}
	}
}

// TestListFollowersGetHeartbeats checks that followers get heartbeats while the list does not change.
func TestListFollowersGetHeartbeats(t *testing.T) {
	now := time.Now()
	var lp listPublisher
	f := &listFollower{}
	lp.update(nil)
	if lp.next(f, now) == nil {
		t.Fatal("new follower got no message")
	}
	lp.update(nil)
	if lp.next(f, now.Add(listHeartbeat/2)) != nil {
		t.Error("follower got a heartbeat too early")
	}
	if lp.next(f, now.Add(listHeartbeat)) == nil {
		t.Error("follower got no heartbeat in time")
	}
}

func valuesOf(servers map[string]contract.Server) (all []contract.Server) {
	for _, server := range servers {
		all = append(all, server)
	}
	return all
}

func sortedByID(servers []contract.Server) []contract.Server {
	slices.SortFunc(servers, func(a, b contract.Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}
