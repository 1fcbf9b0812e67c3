// Package fill is a box beside a model server: it fetches the pieces of the version that should run from other boxes
// and the origin, stages and verifies them, and orders the load when the server's turn comes. It uploads pieces to other
// boxes, reports the server's state to entries, and learns from an entry what the store holds.
package fill
