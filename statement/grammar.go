package statement

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxLength is the maximum length of a statement, in bytes.
const MaxLength = 16 << 10

// Statement is a parsed statement; exactly one of its pointers is set.
type Statement struct {
	Explain  bool     `parser:"@'explain'?"`
	Create   *Create  `parser:"( 'create' @@"`
	Declare  *Declare `parser:"| 'declare' @@"`
	Set      *Set     `parser:"| 'set' @@"`
	Start    *Box     `parser:"| 'start' @@"`
	Stop     *Box     `parser:"| 'stop' @@"`
	Evacuate *Site    `parser:"| 'evacuate' @@"`
	Return   *Site    `parser:"| 'return' @@"`
	Drop     *Drop    `parser:"| 'drop' @@"`
	Show     *Show    `parser:"| 'show' @@ ) ';'?"`
}

// Create creates a fleet or a service.
type Create struct {
	Fleet   *Name          `parser:"( 'fleet' @@"`
	Service *CreateService `parser:"| 'service' @@ )"`
}

// CreateService creates a service in a fleet.
type CreateService struct {
	Name     Name   `parser:"@@"`
	Fleet    Name   `parser:"'in' @@"`
	Kind     string `parser:"'kind' @( 'model' | 'plain' )"`
	Replicas int    `parser:"'replicas' @Number"`
	Once     bool   `parser:"@'once'?"`
}

// Declare sets the version that a service should run; the digest is optional for a known version.
type Declare struct {
	Version Name  `parser:"'version' @@"`
	Service Name  `parser:"'of' @@"`
	Fleet   Name  `parser:"'in' @@"`
	Digest  *Name `parser:"( 'digest' @@ )?"`
}

// Set changes one setting of a fleet, a service or a team.
type Set struct {
	Setting string `parser:"@( 'prefer' | 'replicas' | 'rollout-share' | 'once' | 'concurrency' | 'weight' ) 'of'"`
	Fleet   *Name  `parser:"( 'fleet' @@"`
	Service *Name  `parser:"| 'service' @@"`
	Team    *Name  `parser:"| 'team' @@ )"`
	In      *Name  `parser:"( 'in' @@ )?"`
	Value   Value  `parser:"'to' @@"`
}

// Box names a box of a fleet.
type Box struct {
	Name  Name `parser:"'box' @@"`
	Fleet Name `parser:"'in' @@"`
}

// Site names a site of a fleet.
type Site struct {
	Name  Name `parser:"'site' @@"`
	Fleet Name `parser:"'in' @@"`
}

// Drop removes a fleet without services, a service, or a version; a service whose declared version is dropped runs none.
type Drop struct {
	Fleet   *Name        `parser:"( 'fleet' @@"`
	Service *InFleet     `parser:"| 'service' @@"`
	Version *DropVersion `parser:"| 'version' @@ )"`
}

// InFleet names an object of a fleet.
type InFleet struct {
	Name  Name `parser:"@@"`
	Fleet Name `parser:"'in' @@"`
}

// DropVersion names a version of a service.
type DropVersion struct {
	Version Name `parser:"@@"`
	Service Name `parser:"'of' @@"`
	Fleet   Name `parser:"'in' @@"`
}

// Show queries a table.
type Show struct {
	What  string      `parser:"@( 'fleets' | 'services' | 'versions' | 'boxes' | 'sites' | 'rollouts' | 'teams' | 'history' )"`
	Fleet *Name       `parser:"( 'in' @@ )?"`
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order      `parser:"( 'order' 'by' @@ )?"`
	Limit *int        `parser:"( 'limit' @Number )?"`
}

// Condition is a comparison of a column with a value.
type Condition struct {
	Column string `parser:"@Ident"`
	Op     string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value  Value  `parser:"@@"`
}

// Order is the sort order of a query.
type Order struct {
	Column     string `parser:"@Ident"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}

// Name is an identifier or a single-quoted string.
type Name struct {
	Text string `parser:"@( Ident | String | Digest )"`
}

// Value is a number with an optional percent sign, or a name.
type Value struct {
	Number *int   `parser:"( @Number '%'?"`
	Text   string `parser:"| @( Ident | String | Digest ) )"`
}

// SyntaxError reports the position of a syntax error, counted from 1, and what was expected there.
type SyntaxError struct {
	Line, Column int
	Message      string
}

var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Digest", Pattern: `sha256:[0-9a-fA-F]+`},
	{Name: "Ident", Pattern: `[A-Za-z][A-Za-z0-9_.-]*`},
	{Name: "Number", Pattern: `[0-9]+`},
	{Name: "String", Pattern: `'[^'\n]*'`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>%;]`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(definition),
	participle.Unquote("String"),
	participle.Elide("Space"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(2),
)

// Parse parses one statement; its errors are of type *SyntaxError.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxLength {
		return nil, &SyntaxError{Line: 1, Column: 1, Message: fmt.Sprintf("statement is longer than %d bytes", MaxLength)}
	}
	stmt, err := parser.ParseString("", text)
	if err == nil {
		return stmt, nil
	}
	var positioned participle.Error
	if errors.As(err, &positioned) {
		pos := positioned.Position()
		return nil, &SyntaxError{Line: max(1, pos.Line), Column: max(1, pos.Column), Message: positioned.Message()}
	}
	return nil, &SyntaxError{Line: 1, Column: 1, Message: err.Error()}
}

// Error returns the line, the column and the message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// FleetName returns the name of the statement's fleet, or an empty string if it names none.
func (s *Statement) FleetName() string {
	switch {
	case s.Create != nil && s.Create.Fleet != nil:
		return s.Create.Fleet.Text
	case s.Create != nil:
		return s.Create.Service.Fleet.Text
	case s.Declare != nil:
		return s.Declare.Fleet.Text
	case s.Set != nil:
		return s.Set.fleetName()
	case s.Start != nil:
		return s.Start.Fleet.Text
	case s.Stop != nil:
		return s.Stop.Fleet.Text
	case s.Evacuate != nil:
		return s.Evacuate.Fleet.Text
	case s.Return != nil:
		return s.Return.Fleet.Text
	case s.Drop != nil:
		return s.Drop.fleetName()
	case s.Show != nil && s.Show.Fleet != nil:
		return s.Show.Fleet.Text
	default:
		return ""
	}
}

// String returns the value as text.
func (v Value) String() string {
	if v.Number != nil {
		return strconv.Itoa(*v.Number)
	}
	return v.Text
}

func (s *Set) fleetName() string {
	if s.Fleet != nil {
		return s.Fleet.Text
	}
	if s.In != nil {
		return s.In.Text
	}
	return ""
}

func (d *Drop) fleetName() string {
	switch {
	case d.Fleet != nil:
		return d.Fleet.Text
	case d.Service != nil:
		return d.Service.Fleet.Text
	default:
		return d.Version.Fleet.Text
	}
}
