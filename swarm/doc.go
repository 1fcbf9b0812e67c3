// Package swarm decides which chunk of a version a box fetches next, from which peer, and when from the origin.
// A Node schedules a version of many chunks, a Feed one of few pieces that all boxes fetch at the same time; an Order
// assigns each chunk group's download and cross-site transfers. It does no I/O and takes the time as an argument.
package swarm
