package operate

import (
	"fmt"
	"strings"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/statement"
	"github.com/coralstair/coralstair/weights"
)

const (
	maxReplicas   = 100000
	maxTeamValue  = 1000000
	maxNameLength = 100
)

// Plan returns the change that a statement makes to a fleet's configuration.
// Apart from the fleet's name it is empty if nothing would change.
func Plan(cfg fleet.Config, stmt *statement.Statement) (fleet.Change, error) {
	change := fleet.Change{Fleet: stmt.FleetName()}
	if err := checkName(change.Fleet); err != nil {
		return change, err
	}
	creating := stmt.Create != nil && stmt.Create.Fleet != nil
	exists := cfg.Revision > 0 && !cfg.Dropped
	if !exists && !creating {
		return change, &UnknownNameError{What: "fleet", Name: change.Fleet}
	}
	switch {
	case creating:
		return planCreateFleet(change, exists)
	case stmt.Create != nil:
		return planCreateService(cfg, change, stmt.Create.Service)
	case stmt.Declare != nil:
		return planDeclare(cfg, change, stmt.Declare)
	case stmt.Set != nil:
		return planSet(cfg, change, stmt.Set)
	case stmt.Start != nil:
		return planStart(cfg, change, stmt.Start.Name.Text)
	case stmt.Stop != nil:
		return planStop(cfg, change, stmt.Stop.Name.Text)
	case stmt.Evacuate != nil:
		return planEvacuate(cfg, change, stmt.Evacuate.Name.Text)
	case stmt.Return != nil:
		return planReturn(cfg, change, stmt.Return.Name.Text)
	case stmt.Drop != nil:
		return planDrop(cfg, change, stmt.Drop)
	default:
		return change, &RejectedError{Reason: "the statement changes nothing"}
	}
}

// Empty reports whether a change has no effect.
func Empty(c fleet.Change) bool {
	return c.Prefer == nil && !c.DropFleet &&
		len(c.PutServices) == 0 && len(c.DropServices) == 0 &&
		len(c.PutVersions) == 0 && len(c.DropVersions) == 0 &&
		len(c.PutTeams) == 0 && len(c.StartBoxes) == 0 && len(c.StopBoxes) == 0 &&
		len(c.EvacuateSites) == 0 && len(c.ReturnSites) == 0
}

func planCreateFleet(change fleet.Change, exists bool) (fleet.Change, error) {
	if exists {
		return change, &RejectedError{Reason: fmt.Sprintf("fleet %q already exists", change.Fleet)}
	}
	prefer := fleet.PreferOriginBytes
	change.Prefer = &prefer
	return change, nil
}

func planCreateService(cfg fleet.Config, change fleet.Change, create *statement.CreateService) (fleet.Change, error) {
	if err := checkName(create.Name.Text); err != nil {
		return change, err
	}
	if _, ok := cfg.Services[create.Name.Text]; ok {
		return change, &RejectedError{Reason: fmt.Sprintf("service %q already exists", create.Name.Text)}
	}
	if create.Replicas < 1 || create.Replicas > maxReplicas {
		return change, &RejectedError{Reason: fmt.Sprintf("replicas must be from 1 to %d", maxReplicas)}
	}
	service := fleet.Service{
		Name: create.Name.Text, Kind: fleet.Kind(strings.ToLower(create.Kind)),
		Replicas: create.Replicas, Once: create.Once,
	}
	change.PutServices = []fleet.Service{service}
	return change, nil
}

func planDeclare(cfg fleet.Config, change fleet.Change, declare *statement.Declare) (fleet.Change, error) {
	service, err := findService(cfg, declare.Service.Text)
	if err != nil {
		return change, err
	}
	if service.Kind != fleet.KindModel {
		return change, &RejectedError{Reason: fmt.Sprintf("service %q does not run a model", service.Name)}
	}
	name := declare.Version.Text
	if err := checkName(name); err != nil {
		return change, err
	}
	known, exists := cfg.Versions[fleet.VersionKey(service.Name, name)]
	if declare.Digest == nil && !exists {
		return change, &RejectedError{Reason: fmt.Sprintf("version %q is new, so its digest must be given", name)}
	}
	if declare.Digest != nil {
		digest, err := weights.ParseDigest(strings.ToLower(declare.Digest.Text))
		if err != nil {
			return change, err
		}
		if exists && known.Digest != digest.String() {
			return change, &RejectedError{Reason: fmt.Sprintf("version %q already has digest %s", name, known.Digest)}
		}
		known = fleet.Version{Service: service.Name, Name: name, Digest: digest.String()}
	}
	if !exists {
		change.PutVersions = []fleet.Version{known}
	}
	if service.Version != name {
		change.PutServices = []fleet.Service{service.WithVersion(name)}
	}
	return change, nil
}

func planStart(cfg fleet.Config, change fleet.Change, box string) (fleet.Change, error) {
	if cfg.Stopped[box] {
		change.StartBoxes = []string{box}
	}
	return change, nil
}

func planStop(cfg fleet.Config, change fleet.Change, box string) (fleet.Change, error) {
	if err := checkName(box); err != nil {
		return change, err
	}
	if !cfg.Stopped[box] {
		change.StopBoxes = []string{box}
	}
	return change, nil
}

func planEvacuate(cfg fleet.Config, change fleet.Change, site string) (fleet.Change, error) {
	if err := checkName(site); err != nil {
		return change, err
	}
	if !cfg.Evacuated[site] {
		change.EvacuateSites = []string{site}
	}
	return change, nil
}

func planReturn(cfg fleet.Config, change fleet.Change, site string) (fleet.Change, error) {
	if cfg.Evacuated[site] {
		change.ReturnSites = []string{site}
	}
	return change, nil
}

func planDrop(cfg fleet.Config, change fleet.Change, drop *statement.Drop) (fleet.Change, error) {
	switch {
	case drop.Service != nil:
		return planDropService(cfg, change, drop.Service.Name.Text)
	case drop.Version != nil:
		return planDropVersion(cfg, change, drop.Version)
	}
	if len(cfg.Services) > 0 {
		return change, &RejectedError{Reason: fmt.Sprintf("fleet %q still has services: %s", cfg.Fleet, strings.Join(cfg.ServiceNames(), ", "))}
	}
	change.DropFleet = true
	return change, nil
}

func planDropService(cfg fleet.Config, change fleet.Change, name string) (fleet.Change, error) {
	if _, err := findService(cfg, name); err != nil {
		return change, err
	}
	change.DropServices = []string{name}
	for key, version := range cfg.Versions {
		if version.Service == name {
			change.DropVersions = append(change.DropVersions, key)
		}
	}
	return change, nil
}

func planDropVersion(cfg fleet.Config, change fleet.Change, drop *statement.DropVersion) (fleet.Change, error) {
	service, err := findService(cfg, drop.Service.Text)
	if err != nil {
		return change, err
	}
	key := fleet.VersionKey(service.Name, drop.Version.Text)
	if _, ok := cfg.Versions[key]; !ok {
		return change, &UnknownNameError{What: "version", Name: drop.Version.Text}
	}
	change.DropVersions = []string{key}
	if service.Version == drop.Version.Text {
		change.PutServices = []fleet.Service{service.WithVersion("")}
	}
	return change, nil
}

func planSet(cfg fleet.Config, change fleet.Change, set *statement.Set) (fleet.Change, error) {
	switch {
	case set.Fleet != nil:
		return planSetFleet(cfg, change, set)
	case set.Service != nil:
		return planSetService(cfg, change, set)
	default:
		return planSetTeam(cfg, change, set)
	}
}

func planSetFleet(cfg fleet.Config, change fleet.Change, set *statement.Set) (fleet.Change, error) {
	if set.Setting != "prefer" {
		return change, unknownSetting(set.Setting, "fleet")
	}
	prefer := fleet.Preference(strings.ToLower(set.Value.String()))
	if prefer != fleet.PreferOriginBytes && prefer != fleet.PreferTime {
		return change, &RejectedError{Reason: "prefer is origin-bytes or time"}
	}
	if cfg.Prefer != prefer {
		change.Prefer = &prefer
	}
	return change, nil
}

func planSetService(cfg fleet.Config, change fleet.Change, set *statement.Set) (fleet.Change, error) {
	service, err := findService(cfg, set.Service.Text)
	if err != nil {
		return change, err
	}
	next := service
	switch set.Setting {
	case "replicas":
		n, err := numberSetting(set, 1, maxReplicas)
		if err != nil {
			return change, err
		}
		next = service.WithReplicas(n)
	case "rollout-share":
		n, err := numberSetting(set, 1, 100)
		if err != nil {
			return change, err
		}
		next = service.WithRolloutShare(n)
	case "once":
		once, err := boolSetting(set)
		if err != nil {
			return change, err
		}
		next = service.WithOnce(once)
	default:
		return change, unknownSetting(set.Setting, "service")
	}
	if next != service {
		change.PutServices = []fleet.Service{next}
	}
	return change, nil
}

func planSetTeam(cfg fleet.Config, change fleet.Change, set *statement.Set) (fleet.Change, error) {
	if err := checkName(set.Team.Text); err != nil {
		return change, err
	}
	team := cfg.Teams[set.Team.Text]
	team.Name = set.Team.Text
	n, err := numberSetting(set, 1, maxTeamValue)
	if err != nil {
		return change, err
	}
	next := team
	switch set.Setting {
	case "concurrency":
		next = team.WithConcurrency(n)
	case "weight":
		next = team.WithWeight(n)
	default:
		return change, unknownSetting(set.Setting, "team")
	}
	if next != cfg.Teams[team.Name] {
		change.PutTeams = []fleet.Team{next}
	}
	return change, nil
}

func checkName(name string) error {
	if name == "" {
		return &RejectedError{Reason: "a name is missing; the fleet is named with \"in\""}
	}
	if len(name) > maxNameLength {
		return &RejectedError{Reason: fmt.Sprintf("a name is longer than %d bytes", maxNameLength)}
	}
	if strings.ContainsAny(name, "#/") {
		return &RejectedError{Reason: fmt.Sprintf("name %q contains # or /", name)}
	}
	return nil
}

func findService(cfg fleet.Config, name string) (fleet.Service, error) {
	service, ok := cfg.Services[name]
	if !ok {
		return fleet.Service{}, &UnknownNameError{What: "service", Name: name}
	}
	return service, nil
}

func unknownSetting(setting, kind string) error {
	return &RejectedError{Reason: fmt.Sprintf("%s is not a setting of a %s", setting, kind)}
}

func numberSetting(set *statement.Set, low, high int) (int, error) {
	if set.Value.Number == nil || *set.Value.Number < low || *set.Value.Number > high {
		return 0, &RejectedError{Reason: fmt.Sprintf("%s must be a number from %d to %d", set.Setting, low, high)}
	}
	return *set.Value.Number, nil
}

func boolSetting(set *statement.Set) (bool, error) {
	switch strings.ToLower(set.Value.String()) {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	default:
		return false, &RejectedError{Reason: set.Setting + " must be yes or no"}
	}
}
