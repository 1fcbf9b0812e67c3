// Package swarm decides how the boxes of a fleet get one version's chunks: which
// chunk next, from which box, and when from the origin. It is pure: it opens no
// sockets, starts nothing and is told the time, so that the same code runs on
// real links and in tests with hundreds of boxes.
package swarm
