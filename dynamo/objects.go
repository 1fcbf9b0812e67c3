package dynamo

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"

	"github.com/coralstair/coralstair/store"
)

const objectAttempts = 2

// ObjectsConfig configures the client of the object store.
type ObjectsConfig struct {
	Endpoint    string
	Bucket      string
	Region      string
	Credentials Credentials
	Client      *http.Client
}

// Objects is a client of the platform's object store, the origin of weights.
type Objects struct {
	bucket string
	client *s3.Client
}

// NewObjects returns a client of the object store. It sends no request.
func NewObjects(cfg ObjectsConfig) *Objects {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(cfg.Endpoint),
		Region:                     cfg.Region,
		Credentials:                cfg.Credentials,
		HTTPClient:                 clientOrDefault(cfg.Client),
		UsePathStyle:               true,
		RetryMaxAttempts:           objectAttempts,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Objects{bucket: cfg.Bucket, client: client}
}

// Get returns an object's content, or a store.NotFoundError if it does not exist.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &key})
	if err != nil {
		return nil, wrapObject("get", key, err)
	}
	defer func() { _ = out.Body.Close() }()
	var buf bytes.Buffer
	if out.ContentLength != nil {
		buf.Grow(int(*out.ContentLength) + bytes.MinRead)
	}
	if _, err := io.Copy(&buf, out.Body); err != nil {
		return nil, wrapObject("get", key, err)
	}
	return buf.Bytes(), nil
}

// PutNew creates an object; created is false if it exists already.
func (o *Objects) PutNew(ctx context.Context, key string, body []byte) (created bool, err error) {
	_, err = o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &o.bucket, Key: &key, Body: bytes.NewReader(body), IfNoneMatch: aws.String("*"),
	})
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == "PreconditionFailed" {
		return false, nil
	}
	if err != nil {
		return false, wrapObject("put", key, err)
	}
	return true, nil
}

func wrapObject(call, key string, err error) error {
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return &store.NotFoundError{Key: key}
	}
	return &store.UnavailableError{Service: "object store", Call: call, Err: err}
}
