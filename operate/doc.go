// Package operate carries out operators' statements: it plans the change that a
// statement means, has it accepted as one transaction, and answers queries.
package operate
