package weights

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = sha256.Size

const digestPrefix = "sha256:"

// Digest is the SHA-256 of a chunk, of whole weights or of a manifest.
type Digest [DigestSize]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// ParseDigest parses "sha256:" followed by 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok || len(digits) != hex.EncodedLen(DigestSize) {
		return digest, &DigestSyntaxError{Text: text}
	}
	if _, err := hex.Decode(digest[:], []byte(digits)); err != nil {
		return Digest{}, &DigestSyntaxError{Text: text}
	}
	return digest, nil
}

// Hex returns the digest's hexadecimal digits without the prefix.
func (d Digest) Hex() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first eight bytes of the digest, an abbreviation for messages whose data is verified separately.
func (d Digest) Short() uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// String returns the digest in the form that ParseDigest accepts.
func (d Digest) String() string {
	return digestPrefix + d.Hex()
}
