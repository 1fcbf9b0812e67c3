package logging

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"golang.org/x/term"
)

// Formats of the log.
const (
	FormatAuto = "auto"
	FormatText = "text"
	FormatJSON = "json"
)

// Setup sends the log to w in a format, from a least level upwards.
func Setup(w io.Writer, format, level string) error {
	least, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(least)
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
