package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/coralstair/coralstair/connlimit"
)

// MaxFrame is the largest frame a peer may send, in bytes.
const MaxFrame = 8 << 20

// Path is the URL path at which daemons accept links.
const Path = "/link"

const (
	queueSize     = 64
	bulkQueueSize = 1
	writeTimeout  = 60 * time.Second
	// minChunkBytes is the length above which an incoming message is paced as a chunk.
	minChunkBytes = 4 << 10
)

// Pacer limits the bandwidth of chunks in favour of live requests.
type Pacer interface {
	// MaxBurst returns the most bytes that may pass at a time.
	MaxBurst() int
	// Wait blocks until n bytes may pass.
	Wait(ctx context.Context, n int) error
}

// bulkMessage is an encoded chunk; written, if set, is closed once it is written.
type bulkMessage struct {
	data    []byte
	written chan struct{}
}

// Conn is one end of a link; Send may be called from several goroutines, Receive from one.
// Chunks have a queue of their own, so that other messages overtake them.
type Conn struct {
	ws     *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc
	urgent chan []byte
	bulk   chan bulkMessage
	pacer  Pacer
	// inbound limits what the peer may send if it opened the link.
	inbound *connlimit.Conn
	// greeted says that a message has been received.
	greeted atomic.Bool
	// writeTimer closes the link if a write takes too long.
	writeTimer *time.Timer
	sent       atomic.Int64
	received   atomic.Int64
}

// Accept accepts a link from a peer; pacer, which may be nil, limits its chunks.
func Accept(w http.ResponseWriter, r *http.Request, pacer Pacer) (*Conn, error) {
	var c *Conn
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  func(context.Context, []byte) bool { return c.answersPing() },
	})
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	c = newConn(ws, pacer)
	c.inbound = connlimit.FromContext(r.Context())
	return c, nil
}

// Dial opens a link to the daemon at a host and port; pacer, which may be nil, limits its chunks.
func Dial(ctx context.Context, client *http.Client, address string, pacer Pacer) (*Conn, error) {
	opts := &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled}
	ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, opts)
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	return newConn(ws, pacer), nil
}

func newConn(ws *websocket.Conn, pacer Pacer) *Conn {
	ws.SetReadLimit(MaxFrame)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		ws: ws, ctx: ctx, cancel: cancel, pacer: pacer,
		urgent: make(chan []byte, queueSize),
		bulk:   make(chan bulkMessage, bulkQueueSize),
	}
	c.writeTimer = time.AfterFunc(writeTimeout, c.Close)
	c.writeTimer.Stop()
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

// answersPing reports whether a ping of the peer that opened the link is answered; one before its first message closes the connection.
func (c *Conn) answersPing() bool {
	if c.greeted.Load() {
		return true
	}
	if c.inbound != nil {
		_ = c.inbound.Close()
	}
	return false
}

// Close closes the link immediately, without a closing handshake.
func (c *Conn) Close() {
	c.cancel()
	_ = c.ws.CloseNow()
}

// Context returns a context that ends with the link.
func (c *Conn) Context() context.Context { return c.ctx }

// RoundTrip returns the duration of a ping, which includes queueing behind other data. Both ends must be in Receive.
func (c *Conn) RoundTrip(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	if err := c.ws.Ping(ctx); err != nil {
		return 0, &ClosedError{Err: err}
	}
	return time.Since(began), nil
}

// Receive returns the next message.
func (c *Conn) Receive() (Message, error) {
	_, r, err := c.ws.Reader(c.ctx)
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	c.inbound.Begin()
	data, err := io.ReadAll(&pacedReader{conn: c, r: r})
	if err != nil {
		return nil, &ClosedError{Err: err}
	}
	c.received.Add(int64(len(data)))
	c.greeted.Store(true)
	msg, err := Decode(data)
	if err == nil && !c.inbound.Received() {
		return nil, &ClosedError{Err: net.ErrClosed}
	}
	return msg, err
}

// Send queues one message and waits while the queue is full. An error means that the message will not be sent; success does not mean
// that it arrived.
func (c *Conn) Send(ctx context.Context, msg Message) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	if msg.Kind() == KindChunk {
		return enqueue(ctx, c, c.bulk, bulkMessage{data: data})
	}
	return enqueue(ctx, c, c.urgent, data)
}

// SendChunk sends a chunk and waits until it is written, so that the sender can choose the next chunk as late as possible.
func (c *Conn) SendChunk(ctx context.Context, chunk *Chunk) error {
	data, err := Encode(chunk)
	if err != nil {
		return err
	}
	m := bulkMessage{data: data, written: make(chan struct{})}
	if err := enqueue(ctx, c, c.bulk, m); err != nil {
		return err
	}
	select {
	case <-m.written:
		return nil
	case <-ctx.Done():
		return &ClosedError{Err: ctx.Err()}
	case <-c.ctx.Done():
		return &ClosedError{Err: c.ctx.Err()}
	}
}

// SendWithin queues one message and waits up to limit while the queue is full.
func (c *Conn) SendWithin(limit time.Duration, msg Message) error {
	data, err := Prepare(msg)
	if err != nil {
		return err
	}
	return c.SendEncodedWithin(limit, data)
}

// SendEncodedWithin is SendWithin for an encoded message, which must not be a chunk.
func (c *Conn) SendEncodedWithin(limit time.Duration, data Encoded) error {
	select {
	case c.urgent <- data:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	return enqueue(ctx, c, c.urgent, []byte(data))
}

// enqueue puts a message in one of a link's queues and waits while it is full.
func enqueue[T any](ctx context.Context, c *Conn, to chan<- T, message T) error {
	select {
	case to <- message:
		return nil
	case <-ctx.Done():
		return &ClosedError{Err: ctx.Err()}
	case <-c.ctx.Done():
		return &ClosedError{Err: c.ctx.Err()}
	}
}

// write writes one message, in bursts if it is a paced chunk.
func (c *Conn) write(data []byte, bulk bool) error {
	// One timer per link is cheaper than a context per message.
	c.writeTimer.Reset(writeTimeout)
	defer c.writeTimer.Stop()
	if !bulk || c.pacer == nil {
		return c.ws.Write(c.ctx, websocket.MessageBinary, data)
	}
	w, err := c.ws.Writer(c.ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for len(data) > 0 {
		n := min(len(data), c.pacer.MaxBurst())
		if err := c.pacer.Wait(c.ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return w.Close()
}

// writeNext writes the next message, a chunk only if no other message is queued; it reports whether the link is still open.
func (c *Conn) writeNext() bool {
	var data []byte
	var bulk *bulkMessage
	select {
	case data = <-c.urgent:
	default:
		select {
		case data = <-c.urgent:
		case m := <-c.bulk:
			data, bulk = m.data, &m
		case <-c.ctx.Done():
			return false
		}
	}
	if err := c.write(data, bulk != nil); err != nil {
		return false
	}
	if bulk != nil && bulk.written != nil {
		close(bulk.written)
	}
	c.sent.Add(int64(len(data)))
	return true
}

// pacedReader reads a message and limits its rate beyond minChunkBytes.
type pacedReader struct {
	conn *Conn
	r    io.Reader
	read int
}

// Read reads up to one burst of the pacer.
func (p *pacedReader) Read(buf []byte) (int, error) {
	if p.conn.pacer == nil {
		return p.r.Read(buf)
	}
	n, err := p.r.Read(buf[:min(len(buf), p.conn.pacer.MaxBurst())])
	p.read += n
	if n > 0 && p.read > minChunkBytes {
		if err := p.conn.pacer.Wait(p.conn.ctx, n); err != nil {
			return n, err
		}
	}
	return n, err
}
