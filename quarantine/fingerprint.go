package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes: enough that no caller can have the request of another one held.
const fingerprintSize = 16

// Fingerprint tells a request that comes again, whatever id it then has.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a request by its caller, where it goes and its body.
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

// ParseFingerprint reads what String wrote; ok is false for anything else.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	if hex.DecodedLen(len(text)) != len(f) {
		return Fingerprint{}, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
