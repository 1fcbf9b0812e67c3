// Package link carries typed messages between daemons over a WebSocket, with one
// CBOR frame per message.
package link
