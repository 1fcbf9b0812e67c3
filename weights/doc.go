// Package weights describes a model's weights: digests, the manifest that lists
// the chunks, the memory that holds chunks on a box, and their publication.
package weights
