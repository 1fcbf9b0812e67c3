package weights

import (
	"crypto/sha256"
	"sync"
)

// Store holds verified chunks in memory, by digest; a zero Store is empty and has no limit.
type Store struct {
	mu     sync.RWMutex
	limit  int64
	held   int64
	chunks map[Digest][]byte
}

// NewStore returns an empty store that holds at most limit bytes; 0 means no limit.
func NewStore(limit int64) *Store {
	return &Store{limit: limit}
}

// Chunk returns a held chunk; the caller must not change it.
func (s *Store) Chunk(digest Digest) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, ok := s.chunks[digest]
	return data, ok
}

// Fits returns a LimitError if the chunks of a manifest that are not held yet would exceed the limit.
func (s *Store) Fits(m Manifest) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.limit <= 0 {
		return nil
	}
	var missing int64
	counted := make(map[Digest]bool, len(m.Chunks))
	for i, digest := range m.Chunks {
		if _, ok := s.chunks[digest]; ok || counted[digest] {
			continue
		}
		counted[digest] = true
		missing += m.ChunkLen(i)
	}
	if s.held+missing > s.limit {
		return &LimitError{Limit: s.limit, Held: s.held, Needed: missing}
	}
	return nil
}

// Held returns the number of bytes held.
func (s *Store) Held() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held
}

// Missing returns the indices of a manifest's chunks that are not held.
func (s *Store) Missing(m Manifest) []int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var missing []int
	for i, digest := range m.Chunks {
		if _, ok := s.chunks[digest]; !ok {
			missing = append(missing, i)
		}
	}
	return missing
}

// Put verifies and stores a chunk; the store keeps data, which must not change afterwards.
func (s *Store) Put(want Digest, data []byte) error {
	if got := DigestOf(data); got != want {
		return &MismatchError{What: "chunk", Want: want, Got: got}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[want]; ok {
		return nil
	}
	size := int64(len(data))
	if s.limit > 0 && s.held+size > s.limit {
		return &LimitError{Limit: s.limit, Held: s.held, Needed: size}
	}
	if s.chunks == nil {
		s.chunks = make(map[Digest][]byte)
	}
	s.chunks[want] = data
	s.held += size
	return nil
}

// Retain drops every chunk that none of the manifests lists.
func (s *Store) Retain(manifests ...Manifest) {
	keep := make(map[Digest]bool)
	for _, m := range manifests {
		for _, digest := range m.Chunks {
			keep[digest] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, data := range s.chunks {
		if !keep[digest] {
			s.held -= int64(len(data))
			delete(s.chunks, digest)
		}
	}
}

// Verify checks that all chunks of a manifest are held and together have its whole digest.
func (s *Store) Verify(m Manifest) error {
	whole := sha256.New()
	for _, digest := range m.Chunks {
		data, ok := s.Chunk(digest)
		if !ok {
			return &ManifestError{Reason: "chunk " + digest.String() + " is not held"}
		}
		whole.Write(data)
	}
	var got Digest
	whole.Sum(got[:0])
	if got != m.Whole {
		return &MismatchError{What: "whole", Want: m.Whole, Got: got}
	}
	return nil
}
