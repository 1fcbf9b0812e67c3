// Package spread chooses among servers of which several choosers hear late, so
// that they do not all choose the same one. It is pure: it is told what each
// server costs and how much is sent that nobody sees yet.
package spread
