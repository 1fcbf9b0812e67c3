// Package transfer carries out the decisions of package swarm: it exchanges chunks with other boxes, downloads chunks from
// the origin under permits, and verifies each before it is stored.
package transfer
