package link

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/quarantine"
)

func messages() map[string]Message {
	return map[string]Message{
		"hello":     &Hello{ID: "b", Role: "box", Fleet: "f", Site: "s", Incarnation: "i", Revision: 3},
		"heartbeat": &Heartbeat{Revision: 4, Leaving: true, Load: 2, Service: ServiceState{Service: "s", State: "serving", Open: true}},
		"config":    &Config{Config: fleet.Config{Fleet: "f", Revision: 9, Stopped: map[string]bool{"b": true}}},
		"request":   &Request{ID: 1, Service: "s", Method: "POST", Path: "/", Header: map[string][]string{"A": {"b"}}, Body: []byte("x"), Deadline: time.Second, Credit: 5},
		"cancel":    &Cancel{ID: 1},
		"credit":    &Credit{ID: 1, Bytes: 7},
		"head":      &Head{ID: 1, Status: 200, Version: "v", Digest: "d"},
		"data":      &Data{ID: 1, Body: []byte("y")},
		"end":       &End{ID: 1, Outcome: OutcomeRan, Load: 3},
		"have":      &Have{Manifest: 7, Reset: true, Chunks: []uint32{1, 2}, Queue: 1, Sent: 2},
		"want":      &Want{Manifest: 7, Chunk: 3},
		"chunk":     &Chunk{Manifest: 7, Chunk: 3, Body: []byte("z")},
		"decline":   &Decline{Manifest: 7, Chunk: 3},
		"report": &Report{
			Server: "s", Model: "m", Version: 2, Running: 3, Waiting: 1, Used: 9, Closing: true, Slowdown: 1.5, Entries: 5,
			ClosesIn: time.Second, HasAllPieces: true,
		},
		"queued chunk":    &Chunk{Manifest: 7, Chunk: 3, Body: []byte("z"), QueuedFor: time.Second},
		"want manifest":   &WantManifest{Model: "m", Version: 2},
		"manifest":        &Manifest{Model: "m", Version: 2, Size: 8, Digests: []byte("d")},
		"entries":         &Entries{Hosts: []string{"10.0.0.1"}},
		"follow the list": &Follow{List: true},
		"evacuations":     &Evacuations{Known: discovery.Evacuations{AsOf: discovery.Cursor{Epoch: 1, Position: 7}, Sites: []string{"a"}, Lost: []string{"b"}, LostFor: time.Second}},
		"declared change": &DeclaredChange{AsOf: discovery.Cursor{Position: 3}, Config: &contract.ConfigChange{Base: 1, Revision: 2, DropTeams: []string{"t"}}},
		"team uses": &TeamUses{Entry: "e", Rooms: []RoomUse{{
			Service: "s", Rank: 1, Age: time.Second, Teams: []TeamUse{{Team: "t", Asked: 2 * time.Second, Admitted: time.Second}},
		}}},
		"quarantine records": &QuarantineRecords{Reset: true, Records: quarantine.Records{
			Exits: []quarantine.Exit{{
				Incarnation: "s@1", Entry: "e", Requests: []quarantine.Fingerprint{{1}}, At: 9,
				Prompts: []quarantine.Prompt{{Parts: []quarantine.Fingerprint{{2}, {3}}, Sent: 8}},
			}},
			Responses: []quarantine.Response{{Request: quarantine.Fingerprint{2}, Incarnations: []string{"s@0"}}},
		}},
		"target": &Target{Model: "m", Version: 2, Age: time.Second},
	}
}

func TestFrames(t *testing.T) {
	for name, msg := range messages() {
		t.Run(name, func(t *testing.T) {
			data, err := Encode(msg)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, msg) {
				t.Errorf("got %+v, want %+v", got, msg)
			}
		})
	}
}

// TestLongNamesAreRejected guards against peers that make a daemon keep long names while their links are open.
func TestLongNamesAreRejected(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	for name, msg := range map[string]Message{
		"id": &Hello{ID: long}, "site": &Hello{ID: "b", Site: long}, "host": &Hello{ID: "b", Host: long}, "model": &Target{Model: long},
		"wanted model": &WantManifest{Model: long},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := Encode(msg)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(data); err == nil {
				t.Error("accepted")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, msg := range messages() {
		data, err := Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x82, 0x18, 0xff, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(msg); err != nil {
			t.Errorf("decoded %T can't be encoded: %v", msg, err)
		}
	})
}
