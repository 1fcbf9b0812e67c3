package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// line is one line of a log.
type line struct {
	at     time.Time
	fields map[string]any
}

// text returns a field that is a text; empty when there is none.
func (l line) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// Log collects lines of several logs.
type Log struct{ lines []line }

// Read takes the JSON lines of a log; what stands before the first brace of a line, and lines that are none, are passed over.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, text, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(append([]byte("{"), text...), &fields) != nil {
			continue
		}
		at, _ := fields["at"].(string)
		parsed, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			continue
		}
		l.lines = append(l.lines, line{at: parsed, fields: fields})
	}
	return scanner.Err()
}

// NotFoundError says that no line names a request.
type NotFoundError struct{ ID string }

// Error names the request.
func (e *NotFoundError) Error() string { return "no line names request " + e.ID }

// Story writes what the logs tell of a request, in the order of time; beliefs stand with their age when the request ended.
func (l *Log) Story(w io.Writer, id string) error {
	slices.SortStableFunc(l.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var own []line
	for _, candidate := range l.lines {
		if candidate.text("id") == id {
			own = append(own, candidate)
		}
	}
	if len(own) == 0 {
		return &NotFoundError{ID: id}
	}
	end := own[len(own)-1]
	story := append(l.beliefs(own, end), own...)
	slices.SortStableFunc(story, func(a, b line) int { return a.at.Compare(b.at) })
	for _, of := range story {
		age := ""
		if of.text("id") != id {
			age = fmt.Sprintf(" [believed for %s]", end.at.Sub(of.at).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%s %s%s%s\n", of.at.Format("15:04:05.000"), of.text("msg"), age, details(of)); err != nil {
			return err
		}
	}
	return nil
}

// beliefs returns the latest lines before the end that say what the entry, and the boxes of the request's servers, believed.
func (l *Log) beliefs(own []line, end line) []line {
	servers := serversOf(own)
	addresses := l.addressesOf(servers)
	latest := make(map[string]line)
	for _, candidate := range l.lines {
		if candidate.at.After(end.at) || candidate.text("id") != "" {
			continue
		}
		sameNode := candidate.text("node") == end.text("node")
		key := candidate.text("msg") + " "
		switch {
		case sameNode && servers[candidate.text("server")]:
			key += candidate.text("server")
		case addresses[candidate.text("upstream")] && strings.HasPrefix(candidate.text("msg"), "fill:"):
			key += candidate.text("upstream")
		case sameNode && candidate.text("server") == "" && strings.HasPrefix(candidate.text("msg"), "view:"):
			key += candidate.text("feed")
		default:
			continue
		}
		latest[key] = candidate
	}
	return slices.Collect(maps.Values(latest))
}

// addressesOf returns the addresses that the logs tell of servers.
func (l *Log) addressesOf(servers map[string]bool) map[string]bool {
	addresses := make(map[string]bool)
	for _, of := range l.lines {
		if servers[of.text("server")] && of.text("address") != "" {
			addresses[of.text("address")] = true
		}
	}
	return addresses
}

// serversOf returns the servers that a request's lines name.
func serversOf(own []line) map[string]bool {
	servers := make(map[string]bool)
	for _, of := range own {
		if server := of.text("server"); server != "" {
			servers[server] = true
		}
		tries, _ := of.fields["tries"].([]any)
		for _, try := range tries {
			text, _ := try.(string)
			server, _, _ := strings.Cut(text, " ")
			servers[server] = true
		}
	}
	return servers
}

// details writes the other fields of a line by name.
func details(of line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(of.fields)) {
		switch name {
		case "at", "level", "msg":
			continue
		}
		fmt.Fprintf(&b, "\n    %s: %v", name, of.fields[name])
	}
	return b.String()
}
