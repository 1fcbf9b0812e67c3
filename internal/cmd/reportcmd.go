package cmd

import (
	"bufio"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/report"
)

const (
	flagText = "text"
	flagOut  = "out"
	// gzipMagic is the file signature of gzip.
	gzipMagic = "\x1f\x8b"
	// progressThreshold is the input size in bytes from which a progress bar is shown.
	progressThreshold = 64 << 20
)

func (c *Config) newReportCmd() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "tell from the daemons' logs what became of requests, and why",
		ArgsUsage: "[FILE ...]",
		Description: "Reads logs of any number of machines from files, plain or compressed by gzip, or from standard input when none is\n" +
			"named, and writes one page of HTML with plots, or tables with --text. Lines that cannot be read are counted and named.\n\n" +
			"Example:\n  coralstair report --out report.html entry-*.log box-*.log.gz",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagText, Usage: "write tables of plain text"},
			&cli.StringFlag{Name: flagOut, Usage: "the file to write; standard output when not given"},
		},
		Action: c.runReportCmd,
	}
}

func (c *Config) runReportCmd(_ context.Context, cmd *cli.Command) (err error) {
	var r report.Report
	if !cmd.Args().Present() {
		if err := readReport(&r, "standard input", c.stdin); err != nil {
			return err
		}
	}
	for _, path := range cmd.Args().Slice() {
		if err := c.readReportFile(&r, path); err != nil {
			return err
		}
	}
	w := c.stdout
	if path := cmd.String(flagOut); path != "" {
		file, createErr := os.Create(path)
		if createErr != nil {
			return createErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		w = file
	}
	if cmd.Bool(flagText) {
		return r.Text(w)
	}
	return r.HTML(w)
}

// readReportFile reads one log and shows a progress bar on standard error for a long one.
func (c *Config) readReportFile(r *report.Report, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < progressThreshold {
		return readReport(r, path, file)
	}
	bar := progressbar.NewOptions64(info.Size(),
		progressbar.OptionSetWriter(c.stderr), progressbar.OptionShowBytes(true), progressbar.OptionSetDescription(path),
		progressbar.OptionClearOnFinish())
	defer func() { _ = bar.Finish() }()
	return readReport(r, path, io.TeeReader(file, bar))
}

// readReport reads a plain or gzip-compressed log.
func readReport(r *report.Report, name string, log io.Reader) error {
	buffered := bufio.NewReader(log)
	if magic, _ := buffered.Peek(len(gzipMagic)); string(magic) != gzipMagic {
		return r.Read(name, buffered)
	}
	plain, err := gzip.NewReader(buffered)
	if err != nil {
		return err
	}
	return r.Read(name, plain)
}
