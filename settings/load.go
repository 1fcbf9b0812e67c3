package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// secretLimit is the longest secret file, in bytes.
const secretLimit = 4 << 10

// Role says whose settings a file holds.
type Role string

// The roles with settings of their own.
const (
	RoleEntry Role = "entry"
	RoleBox   Role = "box"
)

// load reads a file into what the keys point to, and returns all that is wrong.
func load(path string, keys []key) []*Fault {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return []*Fault{{File: path, Reason: err.Error()}}
	}
	faults := unknown(path, file, keys)
	for _, k := range keys {
		if fault := take(path, file, k); fault != nil {
			faults = append(faults, fault)
		}
	}
	return faults
}

func take(path string, file *ini.File, k key) *Fault {
	text := k.value
	section := file.Section(k.section)
	set := section.HasKey(k.name)
	if set {
		text = strings.TrimSpace(section.Key(k.name).String())
	}
	if text == "" && k.optional {
		return nil
	}
	if text == "" {
		return &Fault{File: path, Section: k.section, Key: k.name, Reason: "is not set"}
	}
	if err := k.set(text); err != nil {
		return &Fault{File: path, Section: k.section, Key: k.name, Reason: err.Error()}
	}
	return nil
}

func unknown(path string, file *ini.File, keys []key) []*Fault {
	var faults []*Fault
	for _, section := range file.Sections() {
		known := slices.ContainsFunc(keys, func(k key) bool { return k.section == section.Name() })
		if !known && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, &Fault{File: path, Section: section.Name(), Reason: "is no section of these settings"})
			continue
		}
		for _, k := range section.Keys() {
			if !slices.ContainsFunc(keys, func(each key) bool { return each.section == section.Name() && each.name == k.Name() }) {
				faults = append(faults, &Fault{File: path, Section: section.Name(), Key: k.Name(), Reason: "is no key of this section"})
			}
		}
	}
	return faults
}

// example writes an example file with every key, its default and its meaning.
func example(w io.Writer, role Role, keys []key) error {
	if _, err := fmt.Fprintf(w, "# Settings of a coralstair %s: every key, with its default or an example.\n", role); err != nil {
		return err
	}
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			if _, err := fmt.Fprintf(w, "\n[%s]\n", section); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(w, k.exampleLines()); err != nil {
			return err
		}
	}
	return nil
}

// exampleLines returns the key's lines in an example file.
func (k key) exampleLines() string {
	need := "Must be set."
	if k.value != "" {
		need = "Default: " + k.value + "."
	}
	if k.optional {
		need = "May be left out."
	}
	text := fmt.Sprintf("# %s %s\n", k.help, need)
	value := k.value
	if value == "" {
		value = k.example
	}
	if k.optional {
		return text + fmt.Sprintf("; %s = %s\n", k.name, value)
	}
	return text + fmt.Sprintf("%s = %s\n", k.name, value)
}

// readSecret reads a secret from its file, without the line end.
func readSecret(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, secretLimit))
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(data), "\r\n"), nil
}

func faultsOrNil(faults []*Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}
