package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
)

// TestStartDoesNotExtendVersionBound guards against daemons that all start at once and let requests begin on a version after its bound,
// since each counts the bound from its own start.
func TestStartDoesNotExtendVersionBound(t *testing.T) {
	const bound = 10 * time.Second
	for name, age := range map[string]time.Duration{
		"a version that is older than half its bound": 6 * time.Second,
		"a version whose bound has passed":            time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeSource()
				named := time.Now()
				time.Sleep(age)
				v := New(source, Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, VersionBound: bound})
				go func() { _ = v.ServeDeclared(t.Context()) }()
				source.declared <- response[Declared]{value: Declared{Config: config(1), Targets: []contract.Target{{Model: "m", Version: 4}}}}
				synctest.Wait()
				due, older := v.VersionDeadline("m", 3)
				if limit := named.Add(bound); !older || due.After(limit) {
					t.Errorf("requests may begin on version 3 for %s after its bound, older %t", due.Sub(limit), older)
				}
			})
		})
	}
}
