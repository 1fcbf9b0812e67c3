package link

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// MaxFrame is the largest frame a peer may send, in bytes.
const MaxFrame = 8 << 20

// Path is the path under which daemons take links.
const Path = "/link"

const (
	queueSize    = 64
	bulkSize     = 1
	writeTimeout = 60 * time.Second
)

// Conn is one end of a link; Send may be called from several goroutines, Receive from one.
// Chunks wait in a queue of their own, so that other messages overtake them.
type Conn struct {
	ws       *websocket.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	urgent   chan []byte
	bulk     chan []byte
	sent     atomic.Int64
	received atomic.Int64
}

// Accept takes a link that a peer opens.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	return newConn(ws), nil
}

// Dial opens a link to the daemon at a host and port.
func Dial(ctx context.Context, client *http.Client, address string) (*Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled}
	ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, opts)
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	return newConn(ws), nil
}

func newConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(MaxFrame)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		ws: ws, ctx: ctx, cancel: cancel,
		urgent: make(chan []byte, queueSize),
		bulk:   make(chan []byte, bulkSize),
	}
	go func() {
		defer c.Close()
		for c.writeNext() {
			continue
		}
	}()
	return c
}

// Bytes returns the bytes of frames sent and received.
func (c *Conn) Bytes() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// Close ends the link at once.
func (c *Conn) Close() {
	c.cancel()
	_ = c.ws.CloseNow()
}

// Context ends with the link.
func (c *Conn) Context() context.Context { return c.ctx }

// Receive returns the next message.
func (c *Conn) Receive() (Message, error) {
	_, data, err := c.ws.Read(c.ctx)
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	c.received.Add(int64(len(data)))
	return Decode(data)
}

// Send queues one message and waits while the queue is full. An error means that it was not and will not be sent;
// none does not mean that it arrived.
func (c *Conn) Send(ctx context.Context, msg Message) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	queue := c.urgent
	if msg.Kind() == KindChunk {
		queue = c.bulk
	}
	select {
	case queue <- data:
		return nil
	case <-ctx.Done():
		return &ClosedError{Err: ctx.Err()}
	case <-c.ctx.Done():
		return &ClosedError{Err: c.ctx.Err()}
	}
}

// writeNext writes the next message, a chunk only when nothing else waits; it reports whether the link still stands.
func (c *Conn) writeNext() bool {
	var data []byte
	select {
	case data = <-c.urgent:
	default:
		select {
		case data = <-c.urgent:
		case data = <-c.bulk:
		case <-c.ctx.Done():
			return false
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return false
	}
	c.sent.Add(int64(len(data)))
	return true
}
