package weights

import (
	"bytes"
	"context"
	"errors"
	"testing"
)

const testChunk = MinChunkSize

func testData(n int, seed byte) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i*7+i/256) + seed
	}
	return data
}

func testManifest(t *testing.T, data []byte) Manifest {
	t.Helper()
	manifest, err := ReadManifest(bytes.NewReader(data), testChunk, nil)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

func TestParseManifest(t *testing.T) {
	manifest := testManifest(t, testData(2*testChunk+5, 0))
	body, err := manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	corrupt := bytes.Clone(body)
	corrupt[len(corrupt)/2] ^= 1
	short := manifest
	short.Chunks = short.Chunks[:1]
	shortBody, err := short.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		body []byte
		want Digest
		ok   bool
	}{
		"whole":          {body, DigestOf(body), true},
		"corrupted":      {corrupt, DigestOf(body), false},
		"other digest":   {body, DigestOf(nil), false},
		"chunks missing": {shortBody, DigestOf(shortBody), false},
		"not a manifest": {[]byte("x"), DigestOf([]byte("x")), false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseManifest(tc.body, tc.want)
			if (err == nil) != tc.ok {
				t.Fatalf("error %v", err)
			}
			if tc.ok && (got.Whole != manifest.Whole || got.ChunkLen(2) != 5) {
				t.Errorf("manifest %+v", got)
			}
		})
	}
}

func TestStore(t *testing.T) {
	data := testData(3*testChunk, 0)
	manifest := testManifest(t, data)
	store := NewStore(4 * testChunk)
	if err := store.Put(manifest.Chunks[0], data[testChunk:2*testChunk]); err == nil {
		t.Error("a chunk with another digest was stored")
	}
	for i, digest := range manifest.Chunks {
		if err := store.Put(digest, data[i*testChunk:(i+1)*testChunk]); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Verify(manifest); err != nil {
		t.Error(err)
	}
	other := testManifest(t, append(bytes.Clone(data[:testChunk]), testData(2*testChunk, 9)...))
	var limit *LimitError
	if err := store.Fits(other); !errors.As(err, &limit) {
		t.Errorf("error %v, want a LimitError", err)
	}
	store.Retain(other)
	if got := store.Held(); got != testChunk {
		t.Errorf("%d bytes held, want the shared chunk's %d", got, testChunk)
	}
	if err := store.Fits(other); err != nil {
		t.Error(err)
	}
	if got := len(store.Missing(other)); got != 2 {
		t.Errorf("%d chunks missing, want 2", got)
	}
	if err := store.Verify(manifest); err == nil {
		t.Error("weights with chunks missing were verified")
	}
}

func TestVerifyWhole(t *testing.T) {
	data := testData(2*testChunk, 0)
	manifest := testManifest(t, data)
	store := new(Store)
	for i, digest := range manifest.Chunks {
		if err := store.Put(digest, data[i*testChunk:(i+1)*testChunk]); err != nil {
			t.Fatal(err)
		}
	}
	manifest.Whole[0] ^= 1
	var mismatch *MismatchError
	if err := store.Verify(manifest); !errors.As(err, &mismatch) {
		t.Errorf("error %v, want a MismatchError of the whole", err)
	}
}

type memObjects struct {
	objects map[string][]byte
	puts    int
	failAt  int
}

func (m *memObjects) Get(_ context.Context, key string) ([]byte, error) { return m.objects[key], nil }

func (m *memObjects) PutNew(_ context.Context, key string, body []byte) (bool, error) {
	m.puts++
	if m.puts == m.failAt {
		return false, errors.New("connection lost")
	}
	if _, ok := m.objects[key]; ok {
		return false, nil
	}
	m.objects[key] = bytes.Clone(body)
	return true, nil
}

func TestPublish(t *testing.T) {
	ctx := context.Background()
	objects := &memObjects{objects: make(map[string][]byte), failAt: 3}
	data := testData(4*testChunk, 0)
	publish := func(name string, data []byte) (Digest, error) {
		digest, _, err := Publish(ctx, objects, name, bytes.NewReader(data), testChunk)
		return digest, err
	}
	if _, err := publish("v1", data); err == nil {
		t.Fatal("the interrupted publication succeeded")
	}
	digest, err := publish("v1", data)
	if err != nil {
		t.Fatalf("repeated: %v", err)
	}
	if again, err := publish("v1", data); err != nil || again != digest {
		t.Errorf("published twice: %s, %v", again, err)
	}
	var taken *NameTakenError
	if _, err := publish("v1", testData(testChunk, 3)); !errors.As(err, &taken) {
		t.Errorf("error %v, want that the name is taken", err)
	}
}

func FuzzParseManifest(f *testing.F) {
	manifest, err := ReadManifest(bytes.NewReader(testData(testChunk+1, 0)), testChunk, nil)
	if err != nil {
		f.Fatal(err)
	}
	body, err := manifest.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		manifest, err := ParseManifest(body, DigestOf(body))
		if err != nil {
			return
		}
		var size int64
		for i := range manifest.Chunks {
			if n := manifest.ChunkLen(i); n <= 0 || n > MaxChunkSize {
				t.Fatalf("chunk %d has length %d", i, n)
			}
			size += manifest.ChunkLen(i)
		}
		if size != manifest.Size {
			t.Errorf("chunks add up to %d of %d bytes", size, manifest.Size)
		}
	})
}
