package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel/attribute"

	"github.com/coralstair/coralstair/dynamo"
	"github.com/coralstair/coralstair/tracing"
	"github.com/coralstair/coralstair/weights"
)

// publishResult is the JSON output of publish.
type publishResult struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Whole  string `json:"whole"`
	Size   int64  `json:"size_bytes"`
	Chunks int    `json:"chunks"`
}

func (c *Config) newPublishCmd() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "store a file of weights at the origin and print its digest",
		ArgsUsage: "FILE",
		Description: "Cuts the file into chunks, stores those that are not there yet, and then the manifest. A broken-off\n" +
			"publication is run again. A name that stands for other weights is refused.\n\nExample:\n" +
			"  coralstair publish --object-url http://10.0.0.2:8000/objects --secret-file secret --name drafts-v2 drafts-v2.bin",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "object-url", Usage: "object store's `URL`", Required: true, Sources: cli.EnvVars("CORALSTAIR_OBJECT_URL")},
			&cli.StringFlag{Name: "secret-file", Usage: "`FILE` with the secret of the platform's key pair", Required: true, Sources: cli.EnvVars("CORALSTAIR_SECRET_FILE")},
			&cli.StringFlag{Name: "access-id", Usage: "`ID` of the platform's key pair", Value: "coralstair"},
			&cli.StringFlag{Name: "bucket", Usage: "`NAME` of the bucket", Value: "weights"},
			&cli.StringFlag{Name: "region", Usage: "`REGION` with which calls are signed", Value: "local"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the weights; else the file's"},
			&cli.StringFlag{Name: "chunk-size", Usage: "`SIZE` of a chunk", Value: "1MiB"},
			&cli.StringFlag{Name: "otlp-url", Usage: "`URL` where a trace is sent by OTLP over HTTP", Sources: cli.EnvVars("CORALSTAIR_OTLP_URL")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &c.json},
		},
		Action: c.runPublishCmd,
	}
}

func (c *Config) runPublishCmd(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, "one file"); err != nil {
		return err
	}
	chunkSize, err := humanize.ParseBytes(cmd.String("chunk-size"))
	if err != nil || chunkSize < weights.MinChunkSize || chunkSize > weights.MaxChunkSize {
		return &UsageError{Reason: fmt.Sprintf("--chunk-size is a size from %d to %d bytes", weights.MinChunkSize, weights.MaxChunkSize)}
	}
	secret, err := os.ReadFile(cmd.String("secret-file"))
	if err != nil {
		return &UsageError{Reason: "the secret cannot be read: " + err.Error()}
	}
	file, err := os.Open(cmd.Args().First())
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	objects := dynamo.NewObjects(dynamo.ObjectsConfig{
		Endpoint: cmd.String("object-url"), Bucket: cmd.String("bucket"), Region: cmd.String("region"),
		Credentials: dynamo.Credentials{ID: cmd.String("access-id"), Secret: strings.TrimSpace(string(secret))},
		Client:      c.http,
	})
	name := cmd.String("name")
	if name == "" {
		name = filepath.Base(file.Name())
	}
	shutdown, err := tracing.Setup(ctx, cmd.String("otlp-url"), "coralstair-publish", name)
	if err != nil {
		return err
	}
	ctx, span := tracing.Start(ctx, "publish", attribute.String("name", name))
	digest, manifest, err := weights.Publish(ctx, objects, name, file, int64(chunkSize))
	span.End()
	if err := errors.Join(err, shutdown(context.WithoutCancel(ctx))); err != nil {
		return err
	}
	return c.printPublished(publishResult{
		Name: name, Digest: digest.String(), Whole: manifest.Whole.String(),
		Size: manifest.Size, Chunks: len(manifest.Chunks),
	})
}

func (c *Config) printPublished(p publishResult) error {
	if c.json {
		return json.NewEncoder(c.stdout).Encode(p)
	}
	_, err := fmt.Fprintf(c.stdout, "published %s: %d bytes in %d chunks\ndigest %s\n", p.Name, p.Size, p.Chunks, p.Digest)
	return err
}
