// Package statement is the query and command language of operators: its
// grammar, its statements as typed values, and the tables that queries answer
// with. docs/language.md lists every statement with an example.
package statement
