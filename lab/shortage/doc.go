// Package shortage simulates callers, entries and overloaded model engines in
// virtual time to compare admission strategies. With the same seed every strategy
// gets the same requests.
package shortage
