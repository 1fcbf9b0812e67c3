// Package transfer runs the decisions of package swarm on real links: it asks
// other boxes for chunks, gives them chunks, draws from the origin under
// permits, and verifies everything before it is held.
package transfer
