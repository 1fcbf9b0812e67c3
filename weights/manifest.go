package weights

import (
	"crypto/sha256"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of a manifest; sizes are in bytes.
const (
	DefaultChunkSize = 1 << 20
	MinChunkSize     = 1 << 10
	MaxChunkSize     = 4 << 20
	MaxChunks        = 1 << 20
)

// Manifest lists the chunks of a model's weights in order.
type Manifest struct {
	Size      int64    `cbor:"1,keyasint"`
	ChunkSize int64    `cbor:"2,keyasint"`
	Whole     Digest   `cbor:"3,keyasint"`
	Chunks    []Digest `cbor:"4,keyasint"`
}

// ParseManifest decodes a manifest, after checking it against the digest that an operator declared.
func ParseManifest(body []byte, want Digest) (Manifest, error) {
	if got := DigestOf(body); got != want {
		return Manifest{}, &MismatchError{What: "manifest", Want: want, Got: got}
	}
	var manifest Manifest
	if err := cbor.Unmarshal(body, &manifest); err != nil {
		return Manifest{}, &ManifestError{Reason: "not readable", Err: err}
	}
	if err := manifest.check(); err != nil {
		return Manifest{}, err
	}
	return manifest, nil
}

// ReadManifest computes the manifest of the weights read from r and passes each chunk to visit, which may be nil.
func ReadManifest(r io.Reader, chunkSize int64, visit func(Digest, []byte) error) (Manifest, error) {
	manifest := Manifest{ChunkSize: chunkSize}
	whole := sha256.New()
	buf := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, buf)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return Manifest{}, err
		}
		digest := DigestOf(buf[:n])
		whole.Write(buf[:n])
		manifest.Size += int64(n)
		manifest.Chunks = append(manifest.Chunks, digest)
		if visit != nil {
			if err := visit(digest, buf[:n]); err != nil {
				return Manifest{}, err
			}
		}
	}
	whole.Sum(manifest.Whole[:0])
	return manifest, manifest.check()
}

// ChunkLen returns the length of chunk i in bytes.
func (m Manifest) ChunkLen(i int) int64 {
	if i == len(m.Chunks)-1 {
		return m.Size - int64(i)*m.ChunkSize
	}
	return m.ChunkSize
}

// Encode returns the manifest's CBOR form.
func (m Manifest) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

func (m Manifest) check() error {
	if m.Size <= 0 {
		return &ManifestError{Reason: "holds no weights"}
	}
	if m.ChunkSize < MinChunkSize || m.ChunkSize > MaxChunkSize {
		return &ManifestError{Reason: "chunk size is out of bounds"}
	}
	if len(m.Chunks) > MaxChunks {
		return &ManifestError{Reason: "too many chunks"}
	}
	if want := (m.Size + m.ChunkSize - 1) / m.ChunkSize; want != int64(len(m.Chunks)) {
		return &ManifestError{Reason: "size and number of chunks disagree"}
	}
	return nil
}
