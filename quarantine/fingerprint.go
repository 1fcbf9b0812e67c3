package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is in bytes, long enough that no caller can forge the fingerprint of another caller's request.
const fingerprintSize = 16

// Fingerprint identifies equal requests regardless of their IDs, or a part of prompts.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request by its caller, method, host, target and body.
func FingerprintOf(caller, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{caller, method, host, target} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(part)))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// PartFingerprint returns the fingerprint of the prompt part with an ID, which is the same in all requests.
func PartFingerprint(id string) Fingerprint {
	sum := sha256.Sum256([]byte("part\x00" + id))
	return Fingerprint(sum[:fingerprintSize])
}

// ParseFingerprint parses the hexadecimal form that String returns; ok is false if text is malformed.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	if hex.DecodedLen(len(text)) != len(f) {
		return Fingerprint{}, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
