package operate

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/statement"
)

const historyLimit = 200

// BoxReport is a box's latest report.
type BoxReport struct {
	ID       string
	Site     string
	Service  string
	State    string
	Version  string
	Revision fleet.Revision
	// ReportAge is the time since the report; negative if there was none.
	ReportAge time.Duration
	Load      int
	Leaving   bool

	Have, Chunks           int
	OriginBytes, PeerBytes int64
	GivenBytes             int64
	Rejected               int
}

func (e *Executor) show(ctx context.Context, show *statement.Show) (Result, error) {
	name := e.Fleet
	if show.Fleet != nil {
		name = show.Fleet.Text
	}
	table, err := e.table(ctx, show.What, name)
	if err != nil {
		return Result{}, err
	}
	table, err = show.Apply(table)
	if err != nil {
		return Result{}, err
	}
	return Result{Fleet: name, Table: &table}, nil
}

func (e *Executor) table(ctx context.Context, what, name string) (statement.Table, error) {
	switch what {
	case "fleets":
		return e.fleetsTable(ctx)
	case "history":
		return e.historyTable(ctx, name)
	case "boxes":
		return e.boxesTable(name), nil
	}
	cfg, err := e.Ledger.Load(ctx, name)
	if err != nil {
		return statement.Table{}, &ledger.RefusedError{Err: err}
	}
	if cfg.Revision == 0 || cfg.Dropped {
		return statement.Table{}, &UnknownNameError{What: "fleet", Name: name}
	}
	switch what {
	case "services":
		return e.servicesTable(cfg), nil
	case "sites":
		return e.sitesTable(cfg), nil
	case "versions":
		return versionsTable(cfg), nil
	case "teams":
		return teamsTable(cfg), nil
	default:
		return e.rolloutsTable(cfg), nil
	}
}

func (e *Executor) boxesTable(name string) statement.Table {
	table := statement.Table{Columns: []string{
		"box", "site", "service", "state", "version", "revision", "heard", "load", "have", "chunks", "origin-bytes", "peer-bytes", "given-bytes", "rejected",
	}}
	for _, box := range e.boxes(name) {
		table.Rows = append(table.Rows, []string{
			box.ID, box.Site, box.Service, boxState(box), orDash(box.Version), strconv.FormatUint(uint64(box.Revision), 10),
			formatAge(box.ReportAge), strconv.Itoa(box.Load), strconv.Itoa(box.Have), strconv.Itoa(box.Chunks),
			formatInt(box.OriginBytes), formatInt(box.PeerBytes), formatInt(box.GivenBytes), strconv.Itoa(box.Rejected),
		})
	}
	return table
}

// sitesTable returns the sites of a fleet, whether they are evacuated, and what is in progress there; it names the boxes that do not know
// the newest revision yet.
func (e *Executor) sitesTable(cfg fleet.Config) statement.Table {
	table := statement.Table{Columns: []string{"site", "evacuated", "boxes", "in-progress", "behind"}}
	type counts struct{ boxes, load, behind int }
	sites := make(map[string]counts)
	for site := range cfg.Evacuated {
		sites[site] = counts{}
	}
	for _, box := range e.boxes(cfg.Fleet) {
		n := sites[box.Site]
		n.boxes, n.load = n.boxes+1, n.load+box.Load
		if box.Revision < cfg.Revision {
			n.behind++
		}
		sites[box.Site] = n
	}
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		n, evacuated := sites[site], "no"
		if cfg.Evacuated[site] {
			evacuated = "yes"
		}
		table.Rows = append(table.Rows, []string{site, evacuated, strconv.Itoa(n.boxes), strconv.Itoa(n.load), strconv.Itoa(n.behind)})
	}
	return table
}

func (e *Executor) fleetsTable(ctx context.Context) (statement.Table, error) {
	table := statement.Table{Columns: []string{"fleet", "revision", "prefer", "services"}}
	names, err := e.Ledger.Fleets(ctx)
	if err != nil {
		return table, &ledger.RefusedError{Err: err}
	}
	for _, name := range names {
		cfg, err := e.Ledger.Load(ctx, name)
		if err != nil {
			return table, &ledger.RefusedError{Err: err}
		}
		if !cfg.Dropped {
			table.Rows = append(table.Rows, []string{
				name, strconv.FormatUint(uint64(cfg.Revision), 10), string(cfg.Prefer), strconv.Itoa(len(cfg.Services)),
			})
		}
	}
	return table, nil
}

func (e *Executor) historyTable(ctx context.Context, name string) (statement.Table, error) {
	table := statement.Table{Columns: []string{"revision", "at", "operator", "statement", "operation"}}
	changes, err := e.Ledger.History(ctx, name, historyLimit)
	if err != nil {
		return table, &ledger.RefusedError{Err: err}
	}
	for _, change := range changes {
		table.Rows = append(table.Rows, []string{
			strconv.FormatUint(uint64(change.Revision), 10), change.At.Format(time.RFC3339),
			change.Operator, change.Statement, change.Operation,
		})
	}
	return table, nil
}

func (e *Executor) rolloutsTable(cfg fleet.Config) statement.Table {
	table := statement.Table{Columns: []string{"service", "version", "replicas", "boxes", "serving", "under-way", "origin-bytes", "peer-bytes", "rejected"}}
	for _, name := range cfg.ServiceNames() {
		version, ok := cfg.Declared(name)
		if !ok {
			continue
		}
		var boxes, serving, rejected int
		var origin, peer int64
		for _, box := range e.boxes(cfg.Fleet) {
			if box.Service != name {
				continue
			}
			boxes++
			if box.State == "serving" && box.Version == version.Name {
				serving++
			}
			origin += box.OriginBytes
			peer += box.PeerBytes
			rejected += box.Rejected
		}
		table.Rows = append(table.Rows, []string{
			name, version.Name, strconv.Itoa(cfg.Services[name].Replicas), strconv.Itoa(boxes), strconv.Itoa(serving),
			strconv.Itoa(boxes - serving), formatInt(origin), formatInt(peer), strconv.Itoa(rejected),
		})
	}
	return table
}

func (e *Executor) servicesTable(cfg fleet.Config) statement.Table {
	table := statement.Table{Columns: []string{"service", "kind", "version", "replicas", "serving", "rollout-share", "once"}}
	for _, name := range cfg.ServiceNames() {
		service := cfg.Services[name]
		serving := 0
		for _, box := range e.boxes(cfg.Fleet) {
			if box.Service == name && box.State == "serving" {
				serving++
			}
		}
		share := service.RolloutShare
		if share == 0 {
			share = fleet.DefaultRolloutShare
		}
		once := "no"
		if service.Once {
			once = "yes"
		}
		table.Rows = append(table.Rows, []string{
			name, string(service.Kind), orDash(service.Version), strconv.Itoa(service.Replicas),
			strconv.Itoa(serving), strconv.Itoa(share), once,
		})
	}
	return table
}

func teamsTable(cfg fleet.Config) statement.Table {
	table := statement.Table{Columns: []string{"team", "concurrency", "weight"}}
	for _, name := range slices.Sorted(maps.Keys(cfg.Teams)) {
		team := cfg.Teams[name]
		table.Rows = append(table.Rows, []string{name, strconv.Itoa(team.Concurrency), strconv.Itoa(team.Weight)})
	}
	return table
}

func versionsTable(cfg fleet.Config) statement.Table {
	table := statement.Table{Columns: []string{"service", "version", "digest", "declared"}}
	for _, key := range slices.Sorted(maps.Keys(cfg.Versions)) {
		version := cfg.Versions[key]
		declared := "no"
		if cfg.Services[version.Service].Version == version.Name {
			declared = "yes"
		}
		table.Rows = append(table.Rows, []string{version.Service, version.Name, version.Digest, declared})
	}
	return table
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// formatAge formats the age of a report in seconds.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return strconv.FormatFloat(age.Seconds(), 'f', 1, 64)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func boxState(box BoxReport) string {
	if box.Leaving {
		return "leaving"
	}
	return orDash(box.State)
}
