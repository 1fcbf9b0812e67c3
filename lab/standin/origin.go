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

// The size of the weights that the origin hands out.
const (
	Pieces     = 16
	PieceBytes = 16 << 10
)

// Piece returns the content of a piece of a version.
func Piece(version int64, piece int) []byte {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(version))
	binary.BigEndian.PutUint64(seed[8:], uint64(piece))
	data := make([]byte, PieceBytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// Origin hands out the weights of all versions named so far.
type Origin struct {
	mu     sync.Mutex
	newest int64
	spoil  int
	served int
}

// Name makes a version the newest.
func (o *Origin) Name(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// Spoil has every n-th piece go out spoilt; 0 ends that.
func (o *Origin) Spoil(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoil = n
}

// ServeHTTP answers for manifests and pieces.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	if version == 0 {
		version = newest
	}
	model, ofManifest := strings.CutPrefix(r.URL.Path, "/manifest/")
	switch {
	case version > newest || version < 1:
		w.WriteHeader(http.StatusNotFound)
	case version < newest-1:
		w.WriteHeader(http.StatusGone)
	case ofManifest && model != "":
		o.manifest(w, model, version)
	default:
		o.piece(w, r, version)
	}
}

func (o *Origin) manifest(w http.ResponseWriter, model string, version int64) {
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

func (o *Origin) piece(w http.ResponseWriter, r *http.Request, version int64) {
	piece, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil || piece < 0 || piece >= Pieces {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data := Piece(version, piece)
	o.mu.Lock()
	o.served++
	spoilt := o.spoil > 0 && o.served%o.spoil == 0
	o.mu.Unlock()
	if spoilt {
		data[len(data)/2] ^= 1
	}
	_, _ = w.Write(data)
}
