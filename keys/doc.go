// Package keys authenticates teams and operators by API keys, which are stored as hashes.
package keys
