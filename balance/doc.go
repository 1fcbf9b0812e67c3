// Package balance balances load between clients that see the same outdated load reports, so that they do not all choose the
// same server. It does no I/O: costs and the number of unreported requests are arguments.
package balance
