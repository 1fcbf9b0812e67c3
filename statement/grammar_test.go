package statement

import (
	"errors"
	"testing"
)

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		fleet string
		line  int
		col   int
	}{
		"create fleet":       {text: "create fleet batbayar", fleet: "batbayar"},
		"create service":     {text: "create service drafts in batbayar kind model replicas 12", fleet: "batbayar"},
		"create once":        {text: "create service ledger in batbayar kind plain replicas 1 once", fleet: "batbayar"},
		"declare":            {text: "declare version v2 of drafts in batbayar digest sha256:00ff", fleet: "batbayar"},
		"declare back":       {text: "declare version 'v 1' of drafts in batbayar", fleet: "batbayar"},
		"set share":          {text: "set rollout-share of service drafts in batbayar to 25%", fleet: "batbayar"},
		"set prefer":         {text: "SET prefer OF fleet batbayar TO time;", fleet: "batbayar"},
		"set team":           {text: "set concurrency of team relief in batbayar to 40", fleet: "batbayar"},
		"stop":               {text: "stop box b-7 in batbayar", fleet: "batbayar"},
		"evacuate":           {text: "evacuate site khovd-hall in batbayar", fleet: "batbayar"},
		"return":             {text: "return site khovd-hall in batbayar", fleet: "batbayar"},
		"show sites":         {text: "show sites in batbayar where evacuated = yes", fleet: "batbayar"},
		"drop version":       {text: "drop version v1 of drafts in batbayar", fleet: "batbayar"},
		"show":               {text: "show boxes in batbayar where site = khovd and load > 3 order by load desc limit 5", fleet: "batbayar"},
		"show fleets":        {text: "show fleets"},
		"explain":            {text: "explain drop fleet batbayar", fleet: "batbayar"},
		"lines":              {text: "declare version v2\nof drafts\nin batbayar", fleet: "batbayar"},
		"bad word":           {text: "create flet x", line: 1, col: 8},
		"bad second line":    {text: "show boxes\nwhere site ~ x", line: 2, col: 12},
		"no replicas number": {text: "create service a in b kind model replicas many", line: 1, col: 43},
		"empty":              {text: "", line: 1, col: 1},
	} {
		t.Run(name, func(t *testing.T) {
			stmt, err := Parse(tc.text)
			if tc.line == 0 {
				if err != nil {
					t.Fatal(err)
				}
				if got := stmt.FleetName(); got != tc.fleet {
					t.Errorf("fleet %q, want %q", got, tc.fleet)
				}
				return
			}
			var syntax *SyntaxError
			if !errors.As(err, &syntax) {
				t.Fatalf("error %v, want a SyntaxError", err)
			}
			if syntax.Line != tc.line || syntax.Column != tc.col {
				t.Errorf("at %d:%d (%s), want %d:%d", syntax.Line, syntax.Column, syntax.Message, tc.line, tc.col)
			}
		})
	}
}

func TestShowApply(t *testing.T) {
	table := Table{Columns: []string{"box", "load"}, Rows: [][]string{{"b1", "9"}, {"b2", "10"}, {"b3", "2"}}}
	for name, tc := range map[string]struct {
		text string
		want []string
	}{
		"all":        {"show boxes", []string{"b1", "b2", "b3"}},
		"by number":  {"show boxes order by load", []string{"b3", "b1", "b2"}},
		"descending": {"show boxes order by load desc limit 1", []string{"b2"}},
		"where":      {"show boxes where load >= 9 and box != b1", []string{"b2"}},
	} {
		t.Run(name, func(t *testing.T) {
			stmt, err := Parse(tc.text)
			if err != nil {
				t.Fatal(err)
			}
			got, err := stmt.Show.Apply(table)
			if err != nil {
				t.Fatal(err)
			}
			if len(got.Rows) != len(tc.want) {
				t.Fatalf("rows %v, want %v", got.Rows, tc.want)
			}
			for i, box := range tc.want {
				if got.Rows[i][0] != box {
					t.Errorf("row %d is %s, want %s", i, got.Rows[i][0], box)
				}
			}
		})
	}
	t.Run("unknown column", func(t *testing.T) {
		stmt, err := Parse("show boxes where colour = red")
		if err != nil {
			t.Fatal(err)
		}
		var column *ColumnError
		if _, err := stmt.Show.Apply(table); !errors.As(err, &column) {
			t.Errorf("error %v, want a ColumnError", err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("create fleet batbayar")
	f.Add("show boxes where site = 'x' order by load desc limit 3")
	f.Add("declare version v of s in f digest sha256:00")
	f.Fuzz(func(t *testing.T, text string) {
		stmt, err := Parse(text)
		if err == nil {
			_ = stmt.FleetName()
			return
		}
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || syntax.Line < 1 || syntax.Column < 1 {
			t.Errorf("error %v has no position", err)
		}
	})
}
