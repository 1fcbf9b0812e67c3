// Package crowd plays clients that do not keep to a server's limits: they send headers and bodies without end, hold connections that they
// do not use, or do not read responses.
package crowd
