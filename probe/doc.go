// Package probe finds out whether a process has ended, by whether anything listens
// at its port.
package probe
