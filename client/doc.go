// Package client sends operators' statements to entries.
package client
