package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// key describes one key of a settings file.
type key struct {
	section, name string
	// defaultValue applies if the key is not set; a key without a default is mandatory unless it is optional.
	defaultValue string
	optional     bool
	// example is the value in the example file if there is no default.
	example string
	help    string
	// set parses the value and stores it in the settings struct.
	set func(text string) error
}

func textKey(section, name, defaultValue, help string, target *string) key {
	return key{section: section, name: name, defaultValue: defaultValue, help: help, set: func(text string) error {
		*target = text
		return nil
	}}
}

func nameKey(section, name, example, help string, target *string) key {
	return key{section: section, name: name, example: example, help: help, set: func(text string) error {
		if strings.ContainsAny(text, "#/ \t") {
			return fmt.Errorf("%q is not a valid name: it contains #, / or a space", text)
		}
		*target = text
		return nil
	}}
}

func choiceKey(section, name, defaultValue, help string, choices []string, target *string) key {
	return key{section: section, name: name, defaultValue: defaultValue, help: help, set: func(text string) error {
		if !slices.Contains(choices, text) {
			return fmt.Errorf("%q is not one of %s", text, strings.Join(choices, ", "))
		}
		*target = text
		return nil
	}}
}

func countKey(section, name, defaultValue, help string, low, high int, target *int) key {
	return key{section: section, name: name, defaultValue: defaultValue, help: help, set: func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%q is not a number from %d to %d", text, low, high)
		}
		*target = n
		return nil
	}}
}

func bytesKey(section, name, defaultValue, help string, target *int64) key {
	return key{section: section, name: name, defaultValue: defaultValue, help: help, set: func(text string) error {
		n, err := humanize.ParseBytes(text)
		if err != nil {
			return fmt.Errorf("%q is not a size such as 512MiB", text)
		}
		*target = int64(n)
		return nil
	}}
}

func durationKey(section, name, defaultValue, help string, target *time.Duration) key {
	return key{section: section, name: name, defaultValue: defaultValue, help: help, set: func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is not a duration such as 10s or 5m", text)
		}
		*target = d
		return nil
	}}
}

func addressKey(section, name, example, help string, target *string) key {
	return key{section: section, name: name, example: example, help: help, set: func(text string) error {
		host, port, err := net.SplitHostPort(text)
		if err != nil || port == "" {
			return fmt.Errorf("%q is not an address such as 10.0.0.7:7400", text)
		}
		if host != "" && net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an IP address", host)
		}
		*target = text
		return nil
	}}
}

func urlKey(section, name, example, help string, target *string) key {
	return key{section: section, name: name, example: example, help: help, set: func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fmt.Errorf("%q is not a URL such as http://10.0.0.2:8000", text)
		}
		*target = strings.TrimSuffix(text, "/")
		return nil
	}}
}

func fileKey(section, name, example, help string, target *string) key {
	return key{section: section, name: name, example: example, help: help, set: func(text string) error {
		info, err := os.Stat(text)
		if err != nil {
			return fmt.Errorf("file cannot be read: %w", err)
		}
		if info.IsDir() {
			return fmt.Errorf("%s is a directory", text)
		}
		*target = text
		return nil
	}}
}

func optional(k key) key {
	k.optional = true
	return k
}

// withExample sets the value in the example file.
func withExample(example string, k key) key {
	k.example = example
	return k
}
