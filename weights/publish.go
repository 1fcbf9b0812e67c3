package weights

import (
	"context"
	"errors"
	"io"
)

// Objects is the object store of published weights.
type Objects interface {
	// PutNew creates an object; created is false if it existed already.
	PutNew(ctx context.Context, key string, body []byte) (created bool, err error)
	// Get returns a whole object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ChunkKey returns the object key of a chunk.
func ChunkKey(digest Digest) string { return "chunks/" + digest.Hex() }

// ManifestKey returns the object key of a manifest.
func ManifestKey(digest Digest) string { return "manifests/" + digest.Hex() }

// NameKey returns the object key that binds a published name to its manifest.
func NameKey(name string) string { return "names/" + name }

// Publish stores the weights read from r under name and returns the manifest and its digest.
// Chunks that are already stored are not sent again, so an interrupted publication can be repeated.
func Publish(ctx context.Context, objects Objects, name string, r io.Reader, chunkSize int64) (Digest, Manifest, error) {
	manifest, err := ReadManifest(r, chunkSize, func(digest Digest, data []byte) error {
		_, err := objects.PutNew(ctx, ChunkKey(digest), data)
		return err
	})
	if err != nil {
		return Digest{}, Manifest{}, err
	}
	body, err := manifest.Encode()
	if err != nil {
		return Digest{}, Manifest{}, &ManifestError{Reason: "not encodable", Err: err}
	}
	digest := DigestOf(body)
	if _, err := objects.PutNew(ctx, ManifestKey(digest), body); err != nil {
		return Digest{}, Manifest{}, err
	}
	return digest, manifest, bindName(ctx, objects, name, digest)
}

func bindName(ctx context.Context, objects Objects, name string, digest Digest) error {
	created, err := objects.PutNew(ctx, NameKey(name), []byte(digest.String()))
	if err != nil || created {
		return err
	}
	bound, err := objects.Get(ctx, NameKey(name))
	if err != nil {
		return errors.Join(&ManifestError{Reason: "name " + name + " cannot be read"}, err)
	}
	if string(bound) != digest.String() {
		return &NameTakenError{Name: name, Want: digest.String(), Got: string(bound)}
	}
	return nil
}
