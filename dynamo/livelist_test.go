package dynamo

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/coralstair/coralstair/membership"
)

// invalidEntries are entries of a list that are not members.
var invalidEntries = map[string]string{
	"nested objects":            strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
	"nested arrays":             strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000),
	"nested value":              `{"id":"b2","address":"127.0.0.1:1","x":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `,"leaving":3}`,
	"number too large":          `{"id":"b2","address":"127.0.0.1:1","leaving":1e999999}`,
	"number for a name":         `{"id":7,"address":"127.0.0.1:1"}`,
	"object for a name":         `{"id":{"a":"b"},"address":"127.0.0.1:1"}`,
	"text for a truth value":    `{"id":"b2","address":"127.0.0.1:1","leaving":"yes"}`,
	"port out of range":         `{"id":"b2","address":"127.0.0.1:65536"}`,
	"port of many digits":       `{"id":"b2","address":"127.0.0.1:` + strings.Repeat("9", 100) + `"}`,
	"negative port":             `{"id":"b2","address":"127.0.0.1:-1"}`,
	"port 0":                    `{"id":"b2","address":"127.0.0.1:0"}`,
	"no port":                   `{"id":"b2","address":"127.0.0.1"}`,
	"no address":                `{"id":"b2"}`,
	"no id":                     `{"address":"127.0.0.1:1"}`,
	"control byte in a host":    `{"id":"b2","address":"127.0\u0000.0.1:1"}`,
	"blank in a host":           `{"id":"b2","address":"127.0.0.1 x:1"}`,
	"name of 1 MB":              `{"id":"` + strings.Repeat("x", 1<<20) + `","address":"127.0.0.1:1"}`,
	"null":                      `null`,
	"text":                      `"b2"`,
	"number":                    `1e999999`,
	"truth value":               `true`,
	"empty object":              `{}`,
	"empty array":               `[]`,
	"member within an array":    `[{"id":"b2","address":"127.0.0.1:1"}]`,
	"member within an object":   `{"b2":{"id":"b2","address":"127.0.0.1:1"}}`,
	"member with nested object": `{"id":"b2","address":{"id":"b3","address":"127.0.0.1:1"}}`,
}

// serveList returns a list that is answered with a text.
func serveList(t *testing.T, write func(w http.ResponseWriter)) *LiveList {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w) }))
	t.Cleanup(server.Close)
	return &LiveList{URL: server.URL}
}

// TestInvalidEntriesAreSkipped guards against a list that is not followed any more because another writer left an invalid entry in it.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	want := []membership.Member{
		{ID: "b1", Role: membership.RoleBox, Fleet: "f", Site: "s", Address: "127.0.0.1:7400", Service: "x", Incarnation: "2"},
		{ID: "e1", Role: membership.RoleEntry, Fleet: "f", Site: "s", Address: "[::1]:7300", Leaving: true},
	}
	const first, last = `{"id":"b1","role":"box","fleet":"f","site":"s","address":"127.0.0.1:7400","service":"x","incarnation":"2"}`,
		`{"id":"e1","role":"entry","fleet":"f","site":"s","address":"[::1]:7300","leaving":true,"later":{"field":[1,2]}}`
	for name, entry := range invalidEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := serveList(t, func(w http.ResponseWriter) { _, _ = fmt.Fprintf(w, "[%s, %s, %s, %s]", entry, first, entry, last) })
			if members, err := list.Members(t.Context()); err != nil || !slices.Equal(members, want) {
				t.Errorf("%d members, error %v", len(members), err)
			}
		})
	}
}

// TestInvalidListsAreErrors guards against taking a part of a list, or something else, for the whole list.
func TestInvalidListsAreErrors(t *testing.T) {
	const member = `{"id":"b1","address":"127.0.0.1:7400"}`
	for name, text := range map[string]string{
		"empty": "", "object": "{}", "null": "null", "member": member, "no end": "[" + member, "end within a member": "[" + member + `,{"id":`,
		"no comma": "[" + member + member + "]", "text after it": "[" + member + "]x", "wrong bracket": "[" + member + "}",
	} {
		t.Run(name, func(t *testing.T) {
			list := serveList(t, func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, text) })
			if members, err := list.Members(t.Context()); err == nil {
				t.Errorf("members %v", members)
			}
		})
	}
	t.Run("without end", func(t *testing.T) {
		var written atomic.Int64
		list := serveList(t, func(w http.ResponseWriter) {
			part := []byte(strings.Repeat(member+",", 1000))
			_, _ = fmt.Fprint(w, "[")
			for written.Load() < 4*maxListBytes {
				n, err := w.Write(part)
				if written.Add(int64(n)); err != nil {
					return
				}
			}
		})
		if members, err := list.Members(t.Context()); err == nil || written.Load() >= 4*maxListBytes {
			t.Errorf("%d members, error %v, after %d bytes", len(members), err, written.Load())
		}
	})
}
