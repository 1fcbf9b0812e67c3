// Package probe detects that a process has exited by a refused connection to its port.
package probe
