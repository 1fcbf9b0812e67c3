package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxSecretBytes limits how much of a secret file is read; the rest is ignored.
const maxSecretBytes = 4 << 10

// Role is the kind of daemon that a settings file is for.
type Role string

// Roles that have a settings file.
const (
	RoleEntry Role = "entry"
	RoleBox   Role = "box"
)

// load reads a file, sets the value of each key and returns all faults.
func load(path string, keys []key) []*Fault {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return []*Fault{{File: path, Reason: err.Error()}}
	}
	faults := findUnknown(path, file, keys)
	for _, k := range keys {
		if fault := applyKey(path, file, k); fault != nil {
			faults = append(faults, fault)
		}
	}
	return faults
}

// applyKey sets the value of k from the file or its default.
func applyKey(path string, file *ini.File, k key) *Fault {
	text := k.defaultValue
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

// findUnknown returns a fault for each unknown section and key.
func findUnknown(path string, file *ini.File, keys []key) []*Fault {
	var faults []*Fault
	for _, section := range file.Sections() {
		known := slices.ContainsFunc(keys, func(k key) bool { return k.section == section.Name() })
		if !known && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, &Fault{File: path, Section: section.Name(), Reason: "is no section of these settings"})
			continue
		}
		for _, k := range section.Keys() {
			if !slices.ContainsFunc(keys, func(other key) bool { return other.section == section.Name() && other.name == k.Name() }) {
				faults = append(faults, &Fault{File: path, Section: section.Name(), Key: k.Name(), Reason: "is no key of this section"})
			}
		}
	}
	return faults
}

// writeExampleFile writes every key with its help text and its default or example.
func writeExampleFile(w io.Writer, role Role, keys []key) error {
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

// exampleLines returns the key's help comment and assignment.
func (k key) exampleLines() string {
	requirement := "Must be set."
	if k.defaultValue != "" {
		requirement = "Default: " + k.defaultValue + "."
	}
	if k.optional {
		requirement = "May be left out."
	}
	text := fmt.Sprintf("# %s %s\n", k.help, requirement)
	value := k.defaultValue
	if value == "" {
		value = k.example
	}
	if k.optional {
		return text + fmt.Sprintf("; %s = %s\n", k.name, value)
	}
	return text + fmt.Sprintf("%s = %s\n", k.name, value)
}

// readSecret returns the content of a secret file without trailing line breaks.
func readSecret(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxSecretBytes))
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
