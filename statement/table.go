package statement

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// ColumnError reports a query for a column that the table does not have.
type ColumnError struct {
	Column  string
	Columns []string
}

// Error returns the column and the table's columns.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("there is no column %q; the columns are %v", e.Column, e.Columns)
}

// Apply applies the query's conditions, order and limit to a table.
func (s *Show) Apply(table Table) (Table, error) {
	rows := slices.Clone(table.Rows)
	for _, condition := range s.Where {
		column, err := table.index(condition.Column)
		if err != nil {
			return Table{}, err
		}
		rows = slices.DeleteFunc(rows, func(row []string) bool { return !condition.matches(row[column]) })
	}
	if s.Order != nil {
		column, err := table.index(s.Order.Column)
		if err != nil {
			return Table{}, err
		}
		slices.SortStableFunc(rows, func(a, b []string) int {
			if s.Order.Descending {
				a, b = b, a
			}
			return compare(a[column], b[column])
		})
	}
	if s.Limit != nil && *s.Limit < len(rows) {
		rows = rows[:*s.Limit]
	}
	return Table{Columns: table.Columns, Rows: rows}, nil
}

func (c Condition) matches(cell string) bool {
	order := compare(cell, c.Value.String())
	switch c.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

func (t Table) index(column string) (int, error) {
	i := slices.Index(t.Columns, column)
	if i < 0 {
		return 0, &ColumnError{Column: column, Columns: t.Columns}
	}
	return i, nil
}

// compare compares two cells as numbers if both are numbers, else as text.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}
