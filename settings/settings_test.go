package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validBox returns the mandatory settings of a box.
func validBox(dir string) map[string]string {
	return map[string]string{
		"daemon.id": "box-1", "daemon.fleet": "f", "daemon.site": "s", "daemon.listen": "127.0.0.1:7400",
		"platform.table-url": "http://127.0.0.1:1/table", "platform.object-url": "http://127.0.0.1:1/objects",
		"platform.live-url": "http://127.0.0.1:1/live", "platform.secret-file": filepath.Join(dir, "secret"),
		"box.service": "drafts", "box.upstream-url": "http://127.0.0.1:8000",
	}
}

func validEntry(dir string) map[string]string {
	values := validBox(dir)
	delete(values, "box.service")
	delete(values, "box.upstream-url")
	values["entry.keys-file"] = filepath.Join(dir, "secret")
	return values
}

func writeFile(t *testing.T, dir string, values map[string]string) string {
	t.Helper()
	sections := make(map[string][]string)
	for key, value := range values {
		section, name, _ := strings.Cut(key, ".")
		sections[section] = append(sections[section], name+" = "+value)
	}
	var text strings.Builder
	for section, lines := range sections {
		text.WriteString("[" + section + "]\n" + strings.Join(lines, "\n") + "\n")
	}
	path := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func testDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "secret"), []byte("s3cret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestKeys checks that each key accepts valid values and reports invalid ones with section and key.
func TestKeys(t *testing.T) {
	urls := map[string]bool{"http://10.0.0.2:8000/x": true, "https://h": true, "ftp://h": false, "10.0.0.2": false}
	durations := map[string]bool{"2s": true, "5m": true, "0s": false, "soon": false, "3": false}
	names := map[string]bool{"a-b.c": true, "a b": false, "a#b": false, "a/b": false}
	for name, tc := range map[string]struct {
		box    bool
		values map[string]bool
	}{
		"daemon.id":              {true, names},
		"daemon.fleet":           {true, names},
		"daemon.site":            {true, names},
		"daemon.listen":          {true, map[string]bool{"10.0.0.7:7400": true, "[::1]:7400": true, "localhost:7400": false, "7400": false}},
		"daemon.drain-limit":     {true, durations},
		"daemon.log-level":       {true, map[string]bool{"debug": true, "error": true, "loud": false}},
		"daemon.log-format":      {true, map[string]bool{"auto": true, "json": true, "text": true, "xml": false}},
		"daemon.otlp-url":        {true, urls},
		"platform.table-url":     {true, urls},
		"platform.table":         {true, map[string]bool{"t": true}},
		"platform.object-url":    {true, urls},
		"platform.bucket":        {true, map[string]bool{"b": true}},
		"platform.region":        {true, map[string]bool{"r": true}},
		"platform.access-id":     {true, map[string]bool{"id": true}},
		"platform.secret-file":   {true, map[string]bool{"/does/not/exist": false, "/": false}},
		"platform.live-url":      {true, urls},
		"platform.list-interval": {true, durations},
		"box.service":            {true, names},
		"box.kind":               {true, map[string]bool{"model": true, "plain": true, "other": false}},
		"box.upstream-url":       {true, urls},
		"box.advertise":          {true, map[string]bool{"10.0.0.7:1": true, "0.0.0.0:1": false, "x": false}},
		"box.checks-fences":      {true, map[string]bool{"yes": true, "no": true, "maybe": false}},
		"box.resumes":            {true, map[string]bool{"yes": true, "no": true, "often": false}},
		"box.slots":              {true, map[string]bool{"1": true, "0": false, "many": false}},
		"box.weights-limit":      {true, map[string]bool{"80GiB": true, "1000": true, "much": false}},
		"box.link-rate":          {true, map[string]bool{"12MB": true, "fast": false}},
		"entry.keys-file":        {false, map[string]bool{"/does/not/exist": false}},
		"entry.queue":            {false, map[string]bool{"1": true, "0": false, "x": false}},
		"entry.deadline":         {false, durations},
		"entry.body-limit":       {false, map[string]bool{"1MiB": true, "x": false}},
	} {
		for value, valid := range tc.values {
			t.Run(name+"="+value, func(t *testing.T) {
				dir := testDir(t)
				values := validEntry(dir)
				if tc.box {
					values = validBox(dir)
				}
				values[name] = value
				path := writeFile(t, dir, values)
				var err error
				if tc.box {
					_, err = LoadBox(path)
				} else {
					_, err = LoadEntry(path)
				}
				if valid && err != nil {
					t.Fatalf("valid value rejected: %v", err)
				}
				section, key, _ := strings.Cut(name, ".")
				if !valid && !hasFault(err, section, key) {
					t.Errorf("error %v does not report [%s] %s", err, section, key)
				}
			})
		}
	}
}

func hasFault(err error, section, key string) bool {
	var faults *FaultsError
	if !errors.As(err, &faults) {
		return false
	}
	for _, fault := range faults.Faults {
		if fault.Section == section && fault.Key == key {
			return true
		}
	}
	return false
}

func TestAllFaultsAreReported(t *testing.T) {
	dir := testDir(t)
	values := validBox(dir)
	delete(values, "daemon.id")
	values["daemon.colour"] = "red"
	values["box.slots"] = "none"
	values["box.kind"] = "plain"
	values["box.weights-limit"] = "1GiB"
	values["wall.paper"] = "yes"
	_, err := LoadBox(writeFile(t, dir, values))
	for _, want := range [][2]string{{"daemon", "id"}, {"daemon", "colour"}, {"box", "slots"}, {"box", "weights-limit"}, {"wall", ""}} {
		if !hasFault(err, want[0], want[1]) {
			t.Errorf("fault of [%s] %s missing in:\n%v", want[0], want[1], err)
		}
	}
}

func TestLoadBoxValues(t *testing.T) {
	dir := testDir(t)
	values := validBox(dir)
	values["box.weights-limit"] = "2GiB"
	values["platform.list-interval"] = "5s"
	box, err := LoadBox(writeFile(t, dir, values))
	if err != nil {
		t.Fatal(err)
	}
	if box.WeightsLimit != 2<<30 || box.Platform.ListInterval != 5*time.Second || box.Platform.Secret != "s3cret" ||
		box.Advertise != box.Daemon.Listen || box.Kind != "model" {
		t.Errorf("unexpected settings %+v", box)
	}
}

// TestExampleFiles checks that the example files match the keys.
func TestExampleFiles(t *testing.T) {
	for name, role := range map[string]Role{"box.ini": RoleBox, "entry.ini": RoleEntry} {
		t.Run(name, func(t *testing.T) {
			var want bytes.Buffer
			if err := WriteExample(&want, role); err != nil {
				t.Fatal(err)
			}
			got, err := os.ReadFile(filepath.Join("..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want.Bytes()) {
				t.Errorf("examples/%s is not what `coralstair check %s --example` prints", name, role)
			}
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add("[daemon]\nid = a\n[box]\nslots = 3\n")
	f.Add("[daemon\n= =\n")
	f.Add("a = b")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "f.ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Skip()
		}
		var faults *FaultsError
		if _, err := LoadBox(path); err != nil && !errors.As(err, &faults) {
			t.Errorf("error %v is not a FaultsError", err)
		}
	})
}
