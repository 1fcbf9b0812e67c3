// Command review plays the scripts of the review. It starts the daemons as separate processes on loopback addresses, stands in for
// clients, servers and the platform, and judges one rule by what these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
