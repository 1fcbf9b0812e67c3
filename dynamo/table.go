package dynamo

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/coralstair/coralstair/store"
)

// Attribute names and write conditions of the table.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrNumber    = "num"
	attrBody      = "body"

	conditionAbsent = "attribute_not_exists(pk)"
	conditionNumber = "num = :num"
	conditionLower  = "attribute_not_exists(pk) OR num < :num"
)

const (
	tableAttempts = 2
	tableTimeout  = 2 * time.Second
)

// TableConfig configures the client of the table service.
type TableConfig struct {
	Endpoint    string
	Table       string
	Region      string
	Credentials Credentials
	Client      *http.Client
}

// Credentials are an access key for the platform's services.
type Credentials struct{ ID, Secret string }

// Retrieve implements aws.CredentialsProvider.
func (c Credentials) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: c.ID, SecretAccessKey: c.Secret}, nil
}

// Table is a client of the platform's table service.
type Table struct {
	name   string
	client *dynamodb.Client
}

// NewTable returns a client of the table service. It sends no request.
func NewTable(cfg TableConfig) *Table {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint:     aws.String(cfg.Endpoint),
		Region:           cfg.Region,
		Credentials:      cfg.Credentials,
		HTTPClient:       clientOrDefault(cfg.Client),
		RetryMaxAttempts: tableAttempts,
	})
	return &Table{name: cfg.Table, client: client}
}

// Delete removes a row. It is no error if the row does not exist.
func (t *Table) Delete(ctx context.Context, key store.Key) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{TableName: &t.name, Key: keyAttributes(key)})
	return wrapTable("delete", err)
}

// Get returns a row by a consistent read; ok is false if it does not exist.
func (t *Table) Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &t.name, Key: keyAttributes(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return store.Row{}, false, wrapTable("get", err)
	}
	if len(out.Item) == 0 {
		return store.Row{}, false, nil
	}
	return rowOf(out.Item), true, nil
}

// Put writes one row, or returns a store.ConditionError if the condition does not hold.
func (t *Table) Put(ctx context.Context, put store.Put) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	condition, values := conditionOf(put)
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: &t.name, Item: itemOf(put.Row),
		ConditionExpression: condition, ExpressionAttributeValues: values,
	})
	return wrapTable("put", err)
}

// Query returns up to limit rows of a partition whose sort keys start with prefix, in descending order if backward.
func (t *Table) Query(ctx context.Context, partition, prefix string, limit int, backward bool) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	out, err := t.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              &t.name,
		KeyConditionExpression: aws.String("pk = :pk AND begins_with(sk, :sk)"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: partition},
			":sk": &types.AttributeValueMemberS{Value: prefix},
		},
		Limit:            aws.Int32(int32(limit)),
		ScanIndexForward: aws.Bool(!backward),
		ConsistentRead:   aws.Bool(true),
	})
	if err != nil {
		return nil, wrapTable("query", err)
	}
	rows := make([]store.Row, 0, len(out.Items))
	for _, item := range out.Items {
		rows = append(rows, rowOf(item))
	}
	return rows, nil
}

// Transact writes all rows or none; token makes the call idempotent.
func (t *Table) Transact(ctx context.Context, token string, puts ...store.Put) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	items := make([]types.TransactWriteItem, 0, len(puts))
	for _, put := range puts {
		condition, values := conditionOf(put)
		items = append(items, types.TransactWriteItem{Put: &types.Put{
			TableName: &t.name, Item: itemOf(put.Row),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}})
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems: items, ClientRequestToken: &token,
	})
	return wrapTable("transact", err)
}

func conditionOf(put store.Put) (*string, map[string]types.AttributeValue) {
	number := map[string]types.AttributeValue{":num": numberAttribute(put.Number)}
	switch put.Condition {
	case store.IfAbsent:
		return aws.String(conditionAbsent), nil
	case store.IfNumber:
		return aws.String(conditionNumber), number
	case store.IfLower:
		return aws.String(conditionLower), number
	default:
		return nil, nil
	}
}

func itemOf(row store.Row) map[string]types.AttributeValue {
	item := keyAttributes(row.Key)
	item[attrNumber] = numberAttribute(row.Number)
	item[attrBody] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func keyAttributes(key store.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: key.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

func numberAttribute(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func rowOf(item map[string]types.AttributeValue) store.Row {
	var row store.Row
	if value, ok := item[attrPartition].(*types.AttributeValueMemberS); ok {
		row.Key.Partition = value.Value
	}
	if value, ok := item[attrSort].(*types.AttributeValueMemberS); ok {
		row.Key.Sort = value.Value
	}
	if value, ok := item[attrNumber].(*types.AttributeValueMemberN); ok {
		row.Number, _ = strconv.ParseInt(value.Value, 10, 64)
	}
	if value, ok := item[attrBody].(*types.AttributeValueMemberB); ok {
		row.Body = value.Value
	}
	return row
}

func wrapTable(call string, err error) error {
	if err == nil {
		return nil
	}
	var failed *types.ConditionalCheckFailedException
	var canceled *types.TransactionCanceledException
	if errors.As(err, &failed) || errors.As(err, &canceled) {
		return &store.ConditionError{Call: call, Err: err}
	}
	return &store.UnavailableError{Service: "table", Call: call, Err: err}
}

// clientOrDefault replaces a nil client, which the SDK's interface field would not recognise as unset.
func clientOrDefault(client *http.Client) *http.Client {
	if client == nil {
		return defaultClient
	}
	return client
}
