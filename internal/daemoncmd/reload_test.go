package daemoncmd

import (
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/machine"
)

// TestFixedDifferences checks which changed settings are said to wait for the next start.
func TestFixedDifferences(t *testing.T) {
	running := machine.Machine{ID: "a", Site: "s", Memory: 7, Bounds: machine.Bounds{Drain: time.Second, Contact: time.Second, RetrySlack: 3}}
	for name, test := range map[string]struct {
		change func(m *machine.Machine)
		want   []string
	}{
		"nothing":              {func(*machine.Machine) {}, []string{}},
		"bounds that apply":    {func(m *machine.Machine) { m.Bounds.Drain, m.Bounds.RetrySlack, m.Bounds.Evacuate = 2, 9, 4 }, []string{}},
		"contact time":         {func(m *machine.Machine) { m.Bounds.Contact = 2 }, []string{"Bounds"}},
		"site and memory":      {func(m *machine.Machine) { m.Site, m.Memory = "t", 8 }, []string{"Site", "Memory"}},
		"retry window and id":  {func(m *machine.Machine) { m.ID, m.Bounds.RetryWindow = "b", 2 }, []string{"ID", "Bounds"}},
		"sites of the regions": {func(m *machine.Machine) { m.Regions = map[string]string{"s": "r"} }, []string{"Regions"}},
	} {
		t.Run(name, func(t *testing.T) {
			changed := running
			test.change(&changed)
			if got := fixedDifferences(running, changed); !slices.Equal(got, test.want) {
				t.Errorf("said to wait for the next start: %v, want %v", got, test.want)
			}
		})
	}
}
