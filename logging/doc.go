// Package logging sets up the log: text on a terminal, JSON lines otherwise.
package logging
