// Package machine describes the machine on which a daemon runs: its site, its
// addresses, its link rate, and the time limits that operators have set.
package machine
