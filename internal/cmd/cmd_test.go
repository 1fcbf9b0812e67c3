package cmd

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coralstair/coralstair/lab"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"coralstair": func() { os.Exit(Main(os.Args)) },
	})
}

// TestScripts runs each script against a rig of its own: two boxes in two sites, one entry.
func TestScripts(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			rig, err := lab.NewRig(lab.RigConfig{Boxes: 2, Sites: 2, Seed: 1})
			if err != nil {
				return err
			}
			env.Defer(rig.Close)
			up := func() bool {
				_, err := rig.Client().Do(context.Background(), "show fleets", 0)
				return err == nil
			}
			rig.Wait(20*time.Second, up)
			vars, err := rig.Env(env.WorkDir)
			env.Vars = append(env.Vars, vars...)
			return err
		},
	})
}
