// Package keys tells teams and operators by the keys they send, of which only hashes are kept.
package keys
