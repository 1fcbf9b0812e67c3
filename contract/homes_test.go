package contract

import "testing"

func TestHomesOf(t *testing.T) {
	for name, test := range map[string]struct {
		route, team []string
		noTeam      bool
		want        string
		limited     bool
		empty       bool
	}{
		"none":                    {},
		"no team":                 {route: []string{"a"}, noTeam: true, want: "a", limited: true},
		"route only":              {route: []string{"b", "a"}, want: "a,b", limited: true},
		"team only":               {team: []string{"c"}, want: "c", limited: true},
		"both, same":              {route: []string{"a", "a"}, team: []string{"a"}, want: "a", limited: true},
		"both, one in common":     {route: []string{"a", "b"}, team: []string{"b", "c"}, want: "b", limited: true},
		"both, nothing in common": {route: []string{"a"}, team: []string{"b"}, limited: true, empty: true},
	} {
		t.Run(name, func(t *testing.T) {
			team := &Team{Homes: test.team}
			if test.noTeam {
				team = nil
			}
			got := HomesOf(&Route{Homes: test.route}, team)
			if got.String() != test.want || got.Limited() != test.limited || got.Empty() != test.empty {
				t.Errorf("homes %q, limited %t, empty %t; want %q, %t, %t", got, got.Limited(), got.Empty(), test.want, test.limited, test.empty)
			}
			for _, region := range []string{"a", "b", "c"} {
				allowed := in(region, test.route) && (test.noTeam || in(region, test.team))
				if got.Allow(region) != allowed {
					t.Errorf("region %s is allowed: %t, want %t", region, got.Allow(region), allowed)
				}
			}
		})
	}
}

// in reports whether a list of homes, which excludes nothing if it is empty, holds a region.
func in(region string, homes []string) bool {
	for _, home := range homes {
		if home == region {
			return true
		}
	}
	return len(homes) == 0
}
