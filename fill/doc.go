// Package fill is a box beside a model server that takes its weights piece by
// piece: it brings the server to the version that should run, by pieces from
// other boxes and few from the origin, staged at the server, read back and
// checked right before the order to load them, in waves that keep the capacity
// which the load needs. It gives pieces to other boxes, first to those whose
// servers load first, and reports to entries what the server does. What the
// store holds it hears from an entry; it reads the store itself only while no
// entry tells.
package fill
