package lab

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	targetHeader = "X-Amz-Target"
	targetPrefix = "DynamoDB_20120810."
	typePrefix   = "com.amazonaws.dynamodb.v20120810#"
	jsonType     = "application/x-amz-json-1.0"
)

// Table is a fake table service with the calls and conditions that package dynamo uses.
type Table struct {
	Faults Faults

	reads  atomic.Int64
	writes atomic.Int64

	mu     sync.Mutex
	rows   map[string]map[string]item
	tokens map[string]bool
}

// item is a row in its wire format.
type item map[string]attribute

// attribute is a typed value in its wire format; binary values stay base64 text.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

type putRequest struct {
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type getRequest struct {
	Key item
}

type queryRequest struct {
	ExpressionAttributeValues item
	Limit                     int
	ScanIndexForward          *bool
}

type transactRequest struct {
	ClientRequestToken string
	TransactItems      []struct{ Put putRequest }
}

type cancelReason struct {
	Code string
}

// Counts returns the number of row reads and row writes; refused writes count too.
func (t *Table) Counts() (reads, writes int64) {
	return t.reads.Load(), t.writes.Load()
}

// ServeHTTP serves one call, named by the X-Amz-Target header.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.Faults.serveFault(w) {
		return
	}
	call := strings.TrimPrefix(r.Header.Get(targetHeader), targetPrefix)
	switch call {
	case "GetItem":
		serveCall(w, r, t.get)
	case "PutItem":
		serveCall(w, r, t.put)
	case "DeleteItem":
		serveCall(w, r, t.remove)
	case "Query":
		serveCall(w, r, t.query)
	case "TransactWriteItems":
		serveCall(w, r, t.transact)
	default:
		writeError(w, "UnknownOperationException", nil)
	}
}

func (t *Table) conditionHolds(put putRequest) bool {
	old, exists := t.rows[put.Item.text("pk")][put.Item.text("sk")]
	switch put.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(pk)":
		return !exists
	case "num = :num":
		return exists && old.number("num") == put.ExpressionAttributeValues.number(":num")
	case "attribute_not_exists(pk) OR num < :num":
		return !exists || old.number("num") < put.ExpressionAttributeValues.number(":num")
	default:
		return false
	}
}

func (t *Table) get(w http.ResponseWriter, req getRequest) {
	t.reads.Add(1)
	t.mu.Lock()
	row := t.rows[req.Key.text("pk")][req.Key.text("sk")]
	t.mu.Unlock()
	writeJSON(w, struct{ Item item }{row})
}

func (t *Table) put(w http.ResponseWriter, req putRequest) {
	t.writes.Add(1)
	t.mu.Lock()
	ok := t.conditionHolds(req)
	if ok {
		t.store(req.Item)
	}
	t.mu.Unlock()
	if !ok {
		writeError(w, "ConditionalCheckFailedException", nil)
		return
	}
	t.confirmWrite(w)
}

func (t *Table) query(w http.ResponseWriter, req queryRequest) {
	prefix := req.ExpressionAttributeValues.text(":sk")
	t.mu.Lock()
	var found []item
	for sort, row := range t.rows[req.ExpressionAttributeValues.text(":pk")] {
		if strings.HasPrefix(sort, prefix) {
			found = append(found, row)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.text("sk"), b.text("sk")) })
	if req.ScanIndexForward != nil && !*req.ScanIndexForward {
		slices.Reverse(found)
	}
	if req.Limit > 0 && len(found) > req.Limit {
		found = found[:req.Limit]
	}
	t.reads.Add(int64(max(1, len(found))))
	writeJSON(w, struct {
		Items []item
		Count int
	}{found, len(found)})
}

func (t *Table) remove(w http.ResponseWriter, req getRequest) {
	t.writes.Add(1)
	t.mu.Lock()
	delete(t.rows[req.Key.text("pk")], req.Key.text("sk"))
	t.mu.Unlock()
	t.confirmWrite(w)
}

func (t *Table) store(row item) {
	if t.rows == nil {
		t.rows = make(map[string]map[string]item)
	}
	partition := row.text("pk")
	if t.rows[partition] == nil {
		t.rows[partition] = make(map[string]item)
	}
	t.rows[partition][row.text("sk")] = row
}

func (t *Table) transact(w http.ResponseWriter, req transactRequest) {
	t.writes.Add(int64(len(req.TransactItems)))
	t.mu.Lock()
	reasons, ok := t.transactLocked(req)
	t.mu.Unlock()
	if !ok {
		writeError(w, "TransactionCanceledException", reasons)
		return
	}
	t.confirmWrite(w)
}

func (t *Table) transactLocked(req transactRequest) ([]cancelReason, bool) {
	if t.tokens[req.ClientRequestToken] {
		return nil, true
	}
	reasons := make([]cancelReason, 0, len(req.TransactItems))
	ok := true
	for _, write := range req.TransactItems {
		reason := cancelReason{Code: "None"}
		if !t.conditionHolds(write.Put) {
			reason.Code = "ConditionalCheckFailed"
			ok = false
		}
		reasons = append(reasons, reason)
	}
	if !ok {
		return reasons, false
	}
	for _, write := range req.TransactItems {
		t.store(write.Put.Item)
	}
	if t.tokens == nil {
		t.tokens = make(map[string]bool)
	}
	t.tokens[req.ClientRequestToken] = true
	return nil, true
}

// confirmWrite confirms a write, unless its response is to be lost.
func (t *Table) confirmWrite(w http.ResponseWriter) {
	if t.Faults.dropResponse() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct{}{})
}

func (i item) number(name string) int64 {
	value := i[name]
	if value.N == nil {
		return 0
	}
	n, err := strconv.ParseInt(*value.N, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (i item) text(name string) string {
	value := i[name]
	if value.S == nil {
		return ""
	}
	return *value.S
}

func serveCall[T any](w http.ResponseWriter, r *http.Request, call func(http.ResponseWriter, T)) {
	var req T
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, "SerializationException", nil)
		return
	}
	call(w, req)
}

func writeError(w http.ResponseWriter, code string, reasons []cancelReason) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(struct {
		Type    string         `json:"__type"`
		Message string         `json:"message"`
		Reasons []cancelReason `json:"CancellationReasons,omitempty"`
	}{typePrefix + code, code, reasons})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", jsonType)
	_ = json.NewEncoder(w).Encode(body)
}
