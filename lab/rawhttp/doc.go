// Package rawhttp has raw responses, and ways to end a connection, that net/http servers do not produce.
package rawhttp
