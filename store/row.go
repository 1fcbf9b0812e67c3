package store

// Key addresses a row.
type Key struct{ Partition, Sort string }

// Row is one row of the table: a number to put conditions on and a body.
type Row struct {
	Key    Key
	Number int64
	Body   []byte
}

// Condition says when a write may take effect.
type Condition int

// The conditions of a write.
const (
	Always Condition = iota
	IfAbsent
	IfNumber
	IfLower
)

// Put is one write of a row; IfNumber and IfLower compare the stored number with Number.
type Put struct {
	Row       Row
	Condition Condition
	Number    int64
}
