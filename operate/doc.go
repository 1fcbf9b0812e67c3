// Package operate executes operators' statements: it plans a statement's change, commits it as one transaction, and
// answers queries.
package operate
