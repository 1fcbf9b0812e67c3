package keys

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
)

// Role determines what the holder of a key may do.
type Role string

// Roles of a key.
const (
	// RoleTeam may send requests for a team.
	RoleTeam Role = "team"
	// RoleRead may run queries and explain statements.
	RoleRead Role = "read"
	// RoleOperate may execute all statements.
	RoleOperate Role = "operate"
)

// Key is a known key: the name of its team or operator, its role and its hash.
type Key struct {
	Name string
	Role Role
	Hash [sha256.Size]byte
}

// Ring is a set of known keys. The zero Ring is empty.
type Ring struct{ keys []Key }

// SyntaxError reports an invalid line of a keys file.
type SyntaxError struct {
	Line   int
	Reason string
}

// Error returns the line number and the reason.
func (e *SyntaxError) Error() string { return fmt.Sprintf("keys, line %d: %s", e.Line, e.Reason) }

// Read parses a keys file. Each line holds a role, a name and the hexadecimal SHA-256 of a key. The error may be a *SyntaxError.
func Read(r io.Reader) (*Ring, error) {
	ring := &Ring{}
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := parseKey(text)
		if err != nil {
			return nil, &SyntaxError{Line: line, Reason: err.Error()}
		}
		ring.keys = append(ring.keys, key)
	}
	return ring, scanner.Err()
}

// Hash returns the hexadecimal SHA-256 of a key, as stored in a keys file.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Find returns the known key that matches a secret. It compares all keys in constant time, so that timing reveals nothing.
func (r *Ring) Find(secret string) (key Key, ok bool) {
	sum := sha256.Sum256([]byte(secret))
	for _, known := range r.keys {
		if subtle.ConstantTimeCompare(sum[:], known.Hash[:]) == 1 {
			key, ok = known, true
		}
	}
	return key, ok
}

func parseKey(text string) (Key, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return Key{}, fmt.Errorf("want role, name and hash, got %d fields", len(fields))
	}
	key := Key{Role: Role(fields[0]), Name: fields[1]}
	switch key.Role {
	case RoleTeam, RoleRead, RoleOperate:
	default:
		return Key{}, fmt.Errorf("role %q is not team, read or operate", fields[0])
	}
	hash, err := hex.DecodeString(fields[2])
	if err != nil || len(hash) != sha256.Size {
		return Key{}, fmt.Errorf("hash is not %d hexadecimal digits", hex.EncodedLen(sha256.Size))
	}
	copy(key.Hash[:], hash)
	return key, nil
}
