// Package machine describes the machine on which a daemon runs: its place, its
// addresses, its links and limits, and the bounds that its operators have set.
package machine
