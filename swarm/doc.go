// Package swarm decides how the boxes of a fleet get one version's chunks: which
// chunk next, from which box, and when from the origin. A Node takes a version of
// many chunks at its own time; a Feed takes one of few pieces while all boxes take
// them, draws by a schedule that follows the origin's link, and asks for as much
// at a time as its own link carries. An Order, alike at every box, says who draws
// what and who takes it across to each site. The package is pure: it opens no
// sockets, starts nothing and is told the time, so that the same code runs on
// real links and in tests with hundreds of boxes.
package swarm
