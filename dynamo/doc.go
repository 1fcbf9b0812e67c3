// Package dynamo meets what the platform gives: the transactional table
// service (DynamoDB's wire protocol), the object store and origin of weights
// (S3's wire protocol) and the lagging list of live boxes (JSON over HTTP).
package dynamo
