package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
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

// TestCommandPages checks that each page in docs/commands shows the current help of its command.
func TestCommandPages(t *testing.T) {
	for _, name := range []string{"entry", "box", "do", "show", "shell", "publish", "check", "key", "explain", "report", "version"} {
		t.Run(name, func(t *testing.T) {
			var help bytes.Buffer
			c := NewConfig(WithOutput(&help, &help))
			if code := c.Run(t.Context(), []string{"coralstair", name, "--help"}); code != ExitDone {
				t.Fatalf("exit code %d", code)
			}
			if !strings.Contains(help.String(), "Example:") {
				t.Error("the help has no example")
			}
			path := filepath.Join("..", "..", "docs", "commands", name+".md")
			want := "# coralstair " + name + "\n\n```\n" + help.String() + "```\n"
			if os.Getenv("CORALSTAIR_WRITE_PAGES") != "" {
				if err := os.WriteFile(path, []byte(want), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			got, err := os.ReadFile(path)
			if err != nil || string(got) != want {
				t.Errorf("%s is not the command's help (CORALSTAIR_WRITE_PAGES=1 writes it): %v", path, err)
			}
		})
	}
}

// TestScripts runs each script against a system of two boxes in two sites and one entry.
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
