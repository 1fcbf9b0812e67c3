package store

// Key is the key of a row.
type Key struct{ Partition, Sort string }

// Row is one row of the table: a number for conditional writes, and a body.
type Row struct {
	Key    Key
	Number int64
	Body   []byte
}

// Condition is the condition of a write.
type Condition int

// The conditions of a write.
const (
	Always Condition = iota
	IfAbsent
	IfNumber
	IfLower
)

// Put is one conditional write of a row; IfNumber and IfLower compare the stored number with Number.
type Put struct {
	Row       Row
	Condition Condition
	Number    int64
}
