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

const maxLineBytes = 1 << 20

type line struct {
	at     time.Time
	fields map[string]any
}

// text returns a string field, or an empty string if there is none.
func (l line) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// Log collects the lines of several logs.
type Log struct{ lines []line }

// Read adds the JSON lines of a log; it skips text before the first brace of a line, and lines without JSON or a time.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		l.lines = append(l.lines, expand(line{at: parsed, fields: fields})...)
	}
	return scanner.Err()
}

// expand returns one line for each server of a line that lists many, as "ID ADDRESS" with " leaving" behind if it leaves.
func expand(ln line) []line {
	servers, _ := ln.fields["servers"].([]any)
	if ln.text("msg") != "view: servers listed" {
		return []line{ln}
	}
	lines := make([]line, 0, len(servers))
	for _, one := range servers {
		text, _ := one.(string)
		id, rest, _ := strings.Cut(text, " ")
		address, leaving, _ := strings.Cut(rest, " ")
		fields := map[string]any{"msg": "view: server listed", "node": ln.fields["node"], "server": id, "address": address, "leaving": leaving != ""}
		lines = append(lines, line{at: ln.at, fields: fields})
	}
	return lines
}

// NotFoundError reports that no line has the request's ID.
type NotFoundError struct{ ID string }

// Error returns the request's ID.
func (e *NotFoundError) Error() string { return "no line names request " + e.ID }

// WriteTimeline writes a request's lines by time, and the lines with what its entry and boxes then knew, with their age at the
// end of the request.
func (l *Log) WriteTimeline(w io.Writer, id string) error {
	slices.SortStableFunc(l.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var own []line
	for _, ln := range l.lines {
		if ln.text("id") == id {
			own = append(own, ln)
		}
	}
	if len(own) == 0 {
		return &NotFoundError{ID: id}
	}
	end := own[len(own)-1]
	timeline := append(l.knownState(own, end), own...)
	slices.SortStableFunc(timeline, func(a, b line) int { return a.at.Compare(b.at) })
	for _, ln := range timeline {
		age := ""
		if ln.text("id") != id {
			age = fmt.Sprintf(" [believed for %s]", end.at.Sub(ln.at).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%s %s%s%s\n", ln.at.Format("15:04:05.000"), ln.text("msg"), age, details(ln)); err != nil {
			return err
		}
	}
	return nil
}

// knownState returns the latest lines before the end with the state known to the entry and to the boxes of the request's
// servers.
func (l *Log) knownState(own []line, end line) []line {
	servers := requestServers(own)
	addresses := l.addresses(servers)
	latest := make(map[string]line)
	for _, ln := range l.lines {
		if ln.at.After(end.at) || ln.text("id") != "" {
			continue
		}
		sameNode := ln.text("node") == end.text("node")
		key := ln.text("msg") + " "
		switch {
		case sameNode && servers[ln.text("server")]:
			key += ln.text("server")
		case addresses[ln.text("upstream")] && strings.HasPrefix(ln.text("msg"), "fill:"):
			key += ln.text("upstream")
		case sameNode && ln.text("server") == "" && strings.HasPrefix(ln.text("msg"), "view:"):
			key += ln.text("feed")
		default:
			continue
		}
		latest[key] = ln
	}
	return slices.Collect(maps.Values(latest))
}

// addresses returns the logged addresses of servers.
func (l *Log) addresses(servers map[string]bool) map[string]bool {
	addresses := make(map[string]bool)
	for _, ln := range l.lines {
		if servers[ln.text("server")] && ln.text("address") != "" {
			addresses[ln.text("address")] = true
		}
	}
	return addresses
}

// requestServers returns the servers in a request's lines.
func requestServers(own []line) map[string]bool {
	servers := make(map[string]bool)
	for _, ln := range own {
		if server := ln.text("server"); server != "" {
			servers[server] = true
		}
		attempts, _ := ln.fields["tries"].([]any)
		for _, attempt := range attempts {
			text, _ := attempt.(string)
			server, _, _ := strings.Cut(text, " ")
			servers[server] = true
		}
	}
	return servers
}

// details formats the other fields of a line, sorted by name.
func details(ln line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(ln.fields)) {
		switch name {
		case "at", "level", "msg":
			continue
		}
		fmt.Fprintf(&b, "\n    %s: %v", name, ln.fields[name])
	}
	return b.String()
}
