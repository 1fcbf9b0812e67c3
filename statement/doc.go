// Package statement is the operators' query and command language: its grammar, its statements as typed values, and the
// tables that queries return. docs/language.md lists every statement with an example.
package statement
