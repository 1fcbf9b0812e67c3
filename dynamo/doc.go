// Package dynamo has clients for the platform's services: the transactional table
// (DynamoDB protocol), the object store that is the origin of weights (S3 protocol)
// and the eventually consistent list of live boxes (JSON over HTTP).
package dynamo
