package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/client"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/operate"
	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/statement"
)

// operatorFlags returns the flags of the commands that send statements.
func (c *Config) operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Usage: "entry's base `URL`, several times for several", Sources: cli.EnvVars("CORALSTAIR_ENTRY"),
			Value: []string{"http://127.0.0.1:7300"}, Destination: &c.entries,
		},
		&cli.StringFlag{
			Name: "key-file", Usage: "`FILE` with the operator's key", Sources: cli.EnvVars("CORALSTAIR_KEY_FILE"),
			Destination: &c.keyFile,
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &c.json},
	}
}

// client returns a client configured by the flags.
func (c *Config) client() (*client.Client, error) {
	if c.keyFile == "" {
		return nil, &UsageError{Reason: "--key-file or CORALSTAIR_KEY_FILE must be set"}
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, &UsageError{Reason: "the key cannot be read: " + err.Error()}
	}
	return &client.Client{Entries: c.entries, Key: strings.TrimSpace(string(key)), HTTP: c.http}, nil
}

// execute sends one statement and prints its result.
func (c *Config) execute(ctx context.Context, cl *client.Client, text string, ifRevision fleet.Revision) error {
	result, err := cl.Do(ctx, text, ifRevision)
	var p problem.Problem
	if errors.As(err, &p) {
		return c.printProblem(p)
	}
	if err != nil {
		return err
	}
	return c.print(result)
}

// printProblem prints a problem in JSON if requested; a syntax error counts as wrong usage.
func (c *Config) printProblem(p problem.Problem) error {
	if c.json {
		if err := json.NewEncoder(c.stdout).Encode(p); err != nil {
			return err
		}
	}
	if p.Line > 0 {
		return &UsageError{Reason: p.Detail}
	}
	return p
}

func (c *Config) print(result operate.Result) error {
	if c.json {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	if result.Message != "" {
		line := result.Message
		if result.Revision > 0 {
			line += fmt.Sprintf(" (fleet %s, revision %d)", result.Fleet, result.Revision)
		}
		if _, err := fmt.Fprintln(c.stdout, line); err != nil {
			return err
		}
	}
	if result.Table == nil {
		return nil
	}
	return c.printTable(*result.Table)
}

func (c *Config) printTable(table statement.Table) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.ToUpper(strings.Join(table.Columns, "\t"))); err != nil {
		return err
	}
	for _, row := range table.Rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}
