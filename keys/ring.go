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

// Role is what the holder of a key may do.
type Role string

// The roles of a key.
const (
	// RoleTeam sends requests for a team.
	RoleTeam Role = "team"
	// RoleRead asks queries.
	RoleRead Role = "read"
	// RoleOperate asks queries and makes decisions.
	RoleOperate Role = "operate"
)

// Key is a known key: its holder's name, a team or an operator, and what they may do.
type Key struct {
	Name string
	Role Role
	Hash [sha256.Size]byte
}

// Ring is a set of keys; a zero Ring knows none.
type Ring struct{ keys []Key }

// SyntaxError says that a line of a keys file cannot be read.
type SyntaxError struct {
	Line   int
	Reason string
}

// Error names the line.
func (e *SyntaxError) Error() string { return fmt.Sprintf("keys, line %d: %s", e.Line, e.Reason) }

// Read reads a keys file: a line each with role, name and the key's SHA-256 in hexadecimal.
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

// Hash returns the hash under which a key is kept, in hexadecimal.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Find returns the key that a secret is; every known key is compared, in constant time.
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
		return Key{}, fmt.Errorf("want role, name and hash, got %d words", len(fields))
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
