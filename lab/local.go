package lab

import (
	"net/http/httptest"

	"github.com/coralstair/coralstair/dynamo"
)

// LocalTable is a client of a fake table service on loopback.
type LocalTable struct {
	*dynamo.Table
	Service *Table

	server *httptest.Server
}

// NewLocalTable starts a fake table service; Close stops it.
func NewLocalTable() *LocalTable {
	service := new(Table)
	server := httptest.NewServer(service)
	client := dynamo.NewTable(dynamo.TableConfig{
		Endpoint: server.URL, Table: "coralstair", Region: "local",
		Credentials: dynamo.Credentials{ID: "lab", Secret: rigSecret}, Client: server.Client(),
	})
	return &LocalTable{Table: client, Service: service, server: server}
}

// Close stops the table service.
func (l *LocalTable) Close() { l.server.Close() }
