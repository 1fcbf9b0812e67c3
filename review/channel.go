package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's kept channel to an entry. It writes each request once and never again.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is a client's request; headers are lines without their ends.
type request struct {
	method, path, id string
	headers          []string
	body             string
	timeout          time.Duration
}

// send writes the request and reads the head of its answer.
func (c *channel) send(req request) (*http.Response, error) {
	lines := append([]string{
		fmt.Sprintf("%s %s HTTP/1.1", req.method, req.path), "Host: " + host, "X-Request-Id: " + req.id, "X-Key: " + tenantKey,
		fmt.Sprintf("X-Deadline-Ms: %d", req.timeout.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(req.body)),
	}, req.headers...)
	_ = c.conn.SetDeadline(time.Now().Add(req.timeout + time.Second))
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+req.body); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: req.method})
}

func (c *channel) close() { _ = c.conn.Close() }
