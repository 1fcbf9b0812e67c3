// Package ledger stores accepted changes in the platform's table service. Each change is one transaction, recorded under its
// operation's id so that a lost response can be resolved.
package ledger
