package contract

import "testing"

func TestRoute(t *testing.T) {
	cfg := NewConfig(1, Limits{}, []Route{
		{Name: "short", Host: "a", Prefix: "/x/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "other", Host: "b", Prefix: "/x/"},
	}, nil, nil)
	for name, test := range map[string]struct{ host, path, want string }{
		"longest prefix":   {"a", "/x/y/z", "long"},
		"shorter prefix":   {"a", "/x/z", "short"},
		"another host":     {"b", "/x/y/z", "other"},
		"host with port":   {"a:80", "/x/", "short"},
		"host in capitals": {"A", "/x/", "short"},
		"no such host":     {"c", "/x/", ""},
		"no such prefix":   {"a", "/y/", ""},
		"no final slash":   {"a", "/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := cfg.Route(test.host, test.path); route != nil {
				got = route.Name
			}
			if got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

func TestTeams(t *testing.T) {
	cfg := NewConfig(1, Limits{}, nil, nil, []Team{{Name: "t", Keys: []string{"k1", "k2"}}})
	if !cfg.Keyed || cfg.Team("k2") == nil || cfg.Team("k2").Name != "t" || cfg.Team("") != nil {
		t.Error("a key does not map to its team only")
	}
	if NewConfig(1, Limits{}, nil, nil, nil).Keyed {
		t.Error("a configuration without teams requires keys")
	}
}
