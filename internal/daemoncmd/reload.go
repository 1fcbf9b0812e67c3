package daemoncmd

import (
	"reflect"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/platform"
)

// boundsSetter is a daemon that applies changed bounds while it runs.
type boundsSetter interface {
	SetBounds(bounds machine.Bounds)
}

// reloader reads the settings file again on SIGHUP.
type reloader struct {
	path   string
	log    log.Interface
	view   *discovery.View
	daemon daemon
	// running are the settings with which the daemon started.
	running machine.Machine
}

// run reads the settings again, applies the bounds that may change while the daemon runs, and logs which other settings differ from those
// it started with: they take effect at the next start.
func (r reloader) run() {
	m, err := platform.LoadMachine(r.path)
	if err != nil {
		r.log.WithField("cause", err.Error()).Error("daemon: settings cannot be read; the last ones stay")
		return
	}
	r.view.SetBounds(m.Bounds.Drain, m.Bounds.Version, m.Bounds.Evacuate)
	if setter, ok := r.daemon.(boundsSetter); ok {
		setter.SetBounds(m.Bounds)
	}
	r.log.WithField("at_next_start", fixedDifferences(r.running, m)).Info("daemon: settings read again")
}

// fixedDifferences returns the names of the settings that differ and that a running daemon cannot change.
func fixedDifferences(running, m machine.Machine) []string {
	running.Bounds, m.Bounds = fixedBounds(running.Bounds), fixedBounds(m.Bounds)
	names := []string{}
	was, is := reflect.ValueOf(running), reflect.ValueOf(m)
	for i := range was.NumField() {
		if !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			names = append(names, was.Type().Field(i).Name)
		}
	}
	return names
}

// fixedBounds returns the bounds that a running daemon cannot change: the poll timeouts and the retry window depend on them.
func fixedBounds(b machine.Bounds) machine.Bounds {
	return machine.Bounds{Contact: b.Contact, RetryWindow: b.RetryWindow}
}
