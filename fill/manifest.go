package fill

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// Manifest lists the digests of the pieces of one version of a model.
type Manifest struct {
	Model   string
	Version contract.Version
	// PieceBytes is the length of a piece.
	PieceBytes int
	Digests    [][sha256.Size]byte
}

// Key identifies the manifest on links; manifests that differ in any digest have different keys.
func (m *Manifest) Key() uint64 {
	h := sha256.New()
	h.Write([]byte(m.Model))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(m.Version)))
	for i := range m.Digests {
		h.Write(m.Digests[i][:])
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Matches reports whether data has the digest of a piece.
func (m *Manifest) Matches(piece int, data []byte) bool {
	return piece >= 0 && piece < len(m.Digests) && sha256.Sum256(data) == m.Digests[piece]
}

// message returns the manifest as a link message.
func (m *Manifest) message() *link.Manifest {
	digests := make([]byte, 0, len(m.Digests)*sha256.Size)
	for i := range m.Digests {
		digests = append(digests, m.Digests[i][:]...)
	}
	return &link.Manifest{Model: m.Model, Version: int64(m.Version), Size: m.PieceBytes, Digests: digests}
}

// manifestFromLink converts a link message; ok is false when its digests are malformed.
func manifestFromLink(msg *link.Manifest) (m *Manifest, ok bool) {
	if len(msg.Digests) == 0 || len(msg.Digests)%sha256.Size != 0 {
		return nil, false
	}
	m = &Manifest{Model: msg.Model, Version: contract.Version(msg.Version), PieceBytes: msg.Size}
	for digests := msg.Digests; len(digests) > 0; digests = digests[sha256.Size:] {
		m.Digests = append(m.Digests, [sha256.Size]byte(digests[:sha256.Size]))
	}
	return m, true
}
