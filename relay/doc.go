// Package relay carries requests and responses over a link between an entry and a
// box, multiplexed by request ID, with credit-based flow control so that a slow
// reader delays only its own response.
package relay
