package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Size of the weights of a version.
const (
	pieceCount = 64
	pieceBytes = 32768
	layerCount = 16
)

// pieceData returns the content of a piece of a version.
func pieceData(version int64, piece int) []byte {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(version))
	binary.BigEndian.PutUint64(seed[8:], uint64(piece))
	data := make([]byte, pieceBytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// describePiece says what a staged piece is, by what the origin serves up to a version.
func describePiece(data []byte, piece int, newest int64) string {
	if data == nil {
		return "missing"
	}
	for version := int64(1); version <= newest; version++ {
		if bytes.Equal(data, pieceData(version, piece)) {
			return fmt.Sprintf("of version %d", version)
		}
	}
	return "spoilt"
}

// origin stands in for the origin of weights; it serves the newest version and the one before.
type origin struct {
	mu     sync.Mutex
	newest int64
}

func (o *origin) setNewest(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// ServeHTTP serves manifests and pieces.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if version == 0 {
		version = newest
	}
	switch piece, err := strconv.Atoi(r.URL.Query().Get("num")); {
	case version < newest-1:
		w.WriteHeader(http.StatusGone)
	case version > newest:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Path == "/manifest/"+modelName:
		writeJSON(w, http.StatusOK, manifestOf(version))
	case strings.HasPrefix(r.URL.Path, "/piece/"+modelName) && err == nil && piece >= 0 && piece < pieceCount:
		_, _ = w.Write(pieceData(version, piece))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type manifestBody struct {
	Model      string   `json:"model"`
	Version    int64    `json:"version"`
	ChunkBytes int      `json:"chunkBytes"`
	Layers     int      `json:"layers"`
	Digests    []string `json:"digests"`
}

func manifestOf(version int64) manifestBody {
	body := manifestBody{Model: modelName, Version: version, ChunkBytes: pieceBytes, Layers: layerCount}
	for piece := range pieceCount {
		digest := sha256.Sum256(pieceData(version, piece))
		body.Digests = append(body.Digests, hex.EncodeToString(digest[:]))
	}
	return body
}
