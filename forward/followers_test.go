package forward

import (
	"fmt"
	"testing"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

func TestFollowerHearsOnlyNews(t *testing.T) {
	config := func(revision contract.Revision, routes int, origin string) *contract.Config {
		return contract.NewConfig(revision, contract.Limits{}, make([]contract.Route, routes), []contract.Service{
			{Name: "s", Engine: &contract.Engine{Slots: 4}}, {Name: "o", Origin: origin}, {Name: "other"},
		}, nil)
	}
	listed := func(ids ...string) map[string]contract.Server {
		servers := make(map[string]contract.Server)
		for _, id := range ids {
			servers[id] = contract.Server{ID: id, Service: "s"}
		}
		return servers
	}
	for name, test := range map[string]struct {
		cfg            *contract.Config
		servers        map[string]contract.Server
		storeReachable bool
		want           []string
	}{
		"no change":                        {config(1, 3, "h:1"), listed("a", "b"), true, nil},
		"more routes":                      {config(2, 2000, "h:1"), listed("a", "b"), true, nil},
		"changed origin":                   {config(2, 3, "h:2"), listed("a", "b"), true, []string{"services 2"}},
		"server added and another removed": {config(1, 3, "h:1"), listed("a", "c"), true, []string{"1 present, 1 gone, reset false"}},
		"store lost":                       {config(1, 3, "h:1"), listed("a", "b"), false, []string{"away"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &follower{service: "s"}
			first := describeMessages(f.updates(config(1, 3, "h:1"), listed("a", "b"), true))
			if want := "[services 2 2 present, 0 gone, reset true]"; fmt.Sprint(first) != want {
				t.Fatalf("first messages %v, want %s", first, want)
			}
			if got := describeMessages(f.updates(test.cfg, test.servers, test.storeReachable)); fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("messages %v, want %v", got, test.want)
			}
		})
	}
}

func TestFollowerGetsEverythingAfterStoreRecovery(t *testing.T) {
	cfg := contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{{Name: "s"}}, nil)
	f := &follower{service: "s"}
	f.updates(cfg, nil, true)
	f.updates(cfg, nil, false)
	if again := f.updates(cfg, nil, false); len(again) != 0 {
		t.Errorf("messages %v sent twice", describeMessages(again))
	}
	if got := describeMessages(f.updates(cfg, nil, true)); len(got) != 2 {
		t.Errorf("messages %v, want services and servers", got)
	}
}

func describeMessages(msgs []link.Message) []string {
	var texts []string
	for _, msg := range msgs {
		switch m := msg.(type) {
		case *link.Declared:
			if m.StoreLost {
				texts = append(texts, "away")
			} else {
				texts = append(texts, fmt.Sprintf("services %d", len(m.Services)))
			}
		case *link.Servers:
			texts = append(texts, fmt.Sprintf("%d present, %d gone, reset %t", len(m.Present), len(m.Gone), m.Reset))
		}
	}
	return texts
}
