// Package link carries typed messages between the system's own processes: one
// WebSocket per pair of processes that needs one, one CBOR frame per message.
package link
