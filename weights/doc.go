// Package weights handles a model's weights: digests, the manifest that lists the chunks, the in-memory store of chunks,
// and publication.
package weights
