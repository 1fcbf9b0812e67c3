// Package ledger keeps accepted decisions in the platform's table service: one
// transaction each, found again by the operation's id when an answer was lost.
package ledger
