package labcmd

import (
	"context"
	"io"
	"math/rand/v2"
	"os"

	"github.com/dustin/go-humanize"
	"github.com/urfave/cli/v3"
)

func (c *Config) newWeightsCmd() *cli.Command {
	return &cli.Command{
		Name:        "weights",
		Usage:       "make a file of weights from a seed",
		ArgsUsage:   "FILE",
		Description: "Example:\n  coralstair-lab weights --size 64MiB --seed 1 drafts-v1.bin",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "size", Usage: "`SIZE` of the file", Value: "64MiB"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of its content", Value: 1},
		},
		Action: c.runWeightsCmd,
	}
}

func (c *Config) runWeightsCmd(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Reason: "weights takes exactly one FILE argument"}
	}
	size, err := humanize.ParseBytes(cmd.String("size"))
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	file, err := os.Create(cmd.Args().First())
	if err != nil {
		return err
	}
	var seed [32]byte
	seed[0], seed[1] = byte(cmd.Uint64("seed")), byte(cmd.Uint64("seed")>>8)
	if _, err := io.CopyN(file, rand.NewChaCha8(seed), int64(size)); err != nil {
		return err
	}
	return file.Close()
}
