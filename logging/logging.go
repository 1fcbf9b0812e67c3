package logging

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"golang.org/x/term"
)

// Log formats. FormatAuto writes text to a terminal and JSON otherwise.
const (
	FormatAuto = "auto"
	FormatText = "text"
	FormatJSON = "json"
)

// Setup writes log entries of at least a level to w in the given format.
func Setup(w io.Writer, format, level string) error {
	minLevel, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(minLevel)
	if format == FormatText || format == FormatAuto && isTerminal(w) {
		log.SetHandler(text.New(w))
		return nil
	}
	log.SetHandler(json.New(w))
	return nil
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}
