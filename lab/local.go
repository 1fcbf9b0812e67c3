package lab

import (
	"net/http/httptest"

	"github.com/coralstair/coralstair/dynamo"
)

// LocalTable is a stand-in table service on loopback with a client of it.
type LocalTable struct {
	*dynamo.Table
	Service *Table

	server *httptest.Server
}

// NewLocalTable starts a table service; Close ends it.
func NewLocalTable() *LocalTable {
	service := new(Table)
	server := httptest.NewServer(service)
	client := dynamo.NewTable(dynamo.TableConfig{
		Endpoint: server.URL, Table: "coralstair", Region: "local",
		Access: dynamo.Credentials{ID: "lab", Secret: rigSecret}, Client: server.Client(),
	})
	return &LocalTable{Table: client, Service: service, server: server}
}

// Close ends the table service.
func (l *LocalTable) Close() { l.server.Close() }
