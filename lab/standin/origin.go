package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Size of the weights of a version: the number of pieces and the bytes of each.
const (
	Pieces     = 16
	PieceBytes = 16 << 10
)

// Piece returns the content of a piece of a version, derived from both numbers.
func Piece(version int64, piece int) []byte {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(version))
	binary.BigEndian.PutUint64(seed[8:], uint64(piece))
	data := make([]byte, PieceBytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// Origin is a fake origin of weights; it serves the newest version and the one before.
type Origin struct {
	mu           sync.Mutex
	newest       int64
	corruptEvery int
	served       int
}

// SetNewest sets the newest version.
func (o *Origin) SetNewest(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// CorruptEvery corrupts every n-th piece that is served; 0 ends that.
func (o *Origin) CorruptEvery(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruptEvery = n
}

// ServeHTTP serves manifests and pieces.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	if version == 0 {
		version = newest
	}
	model, isManifest := strings.CutPrefix(r.URL.Path, "/manifest/")
	switch {
	case version > newest || version < 1:
		w.WriteHeader(http.StatusNotFound)
	case version < newest-1:
		w.WriteHeader(http.StatusGone)
	case isManifest && model != "":
		o.serveManifest(w, model, version)
	default:
		o.servePiece(w, r, version)
	}
}

func (o *Origin) serveManifest(w http.ResponseWriter, model string, version int64) {
	body := struct {
		Model      string   `json:"model"`
		Version    int64    `json:"version"`
		ChunkBytes int      `json:"chunkBytes"`
		Digests    []string `json:"digests"`
	}{Model: model, Version: version, ChunkBytes: PieceBytes}
	for piece := range Pieces {
		digest := sha256.Sum256(Piece(version, piece))
		body.Digests = append(body.Digests, hex.EncodeToString(digest[:]))
	}
	writeJSON(w, body)
}

func (o *Origin) servePiece(w http.ResponseWriter, r *http.Request, version int64) {
	piece, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil || piece < 0 || piece >= Pieces {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data := Piece(version, piece)
	o.mu.Lock()
	o.served++
	corrupt := o.corruptEvery > 0 && o.served%o.corruptEvery == 0
	o.mu.Unlock()
	if corrupt {
		data[len(data)/2] ^= 1
	}
	_, _ = w.Write(data)
}
