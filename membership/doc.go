// Package membership polls the platform's list of live and leaving machines,
// which may lag behind.
package membership
