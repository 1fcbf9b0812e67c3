package labcmd

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/coralstair/coralstair/lab"
)

// RefusedError reports a response with a status other than 200.
type RefusedError struct{ Answer lab.Answer }

// Error returns the status, the outcome and the entry's detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d, outcome %s: %s", e.Answer.Status, e.Answer.Outcome, e.Answer.Problem)
}

func (c *Config) newAskCmd() *cli.Command {
	return &cli.Command{
		Name:  "ask",
		Usage: "send one request as a caller and check the answer token by token",
		Description: "Example:\n" +
			"  coralstair-lab ask --entry http://127.0.0.1:7300 --key-file team.key --service drafts --prompt 'shift notice'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "entry's base `URL`", Value: "http://127.0.0.1:7300"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with a team's key", Required: true},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` to ask", Value: "who is on the list?"},
			&cli.IntFlag{Name: "tokens", Usage: "`N` tokens to ask for", Value: 16},
			&cli.StringFlag{Name: "plain", Usage: "ask a plain service at `PATH` instead"},
			&cli.StringFlag{Name: "once-key", Usage: "`KEY` of a request that must not be repeated"},
		},
		Action: c.runAskCmd,
	}
}

func (c *Config) runAskCmd(ctx context.Context, cmd *cli.Command) error {
	key, err := os.ReadFile(cmd.String("key-file"))
	if err != nil {
		return err
	}
	caller := &lab.Caller{URL: cmd.String("entry"), Key: strings.TrimSpace(string(key))}
	call := lab.ChatCall{
		Service: cmd.String("service"), Prompt: cmd.String("prompt"), MaxTokens: cmd.Int("tokens"),
		Stream: true, ID: uuid.NewString(), IdempotencyKey: cmd.String("once-key"),
	}
	var answer lab.Answer
	if path := cmd.String("plain"); path != "" {
		answer, err = caller.Plain(ctx, call.Service, path, []byte(call.Prompt), call)
	} else {
		answer, err = caller.Chat(ctx, call)
	}
	if err != nil {
		return err
	}
	if answer.Status != 200 {
		return &RefusedError{Answer: answer}
	}
	_, err = fmt.Fprintf(c.stdout, "box %s, version %s, outcome %s: %s\n", answer.Box, answer.Version, answer.Outcome, answer.Text)
	return err
}
