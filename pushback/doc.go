// Package pushback paces requests by the signals in a server's responses: that it
// is leaving, wants a pause, or limits its callers' total request rate.
package pushback
