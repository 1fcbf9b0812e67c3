package lab

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

const (
	pacedWrite  = 16 << 10
	maxObject   = 64 << 20
	missingBody = `<?xml version="1.0" encoding="UTF-8"?><Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>`
	existsBody  = `<?xml version="1.0" encoding="UTF-8"?><Error><Code>PreconditionFailed</Code><Message>exists</Message></Error>`
)

// Objects is a fake object store, the origin of weights, with conditional creation and rate-limited reads.
type Objects struct {
	Faults Faults

	mu         sync.Mutex
	objects    map[string][]byte
	limiter    *rate.Limiter
	downloaded int64
}

// DownloadedBytes returns the total size of the chunks requested so far.
func (o *Objects) DownloadedBytes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.downloaded
}

// ServeHTTP serves GET, HEAD and PUT of /bucket/key.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.Faults.serveFault(w) {
		return
	}
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		o.get(w, r, key)
	case http.MethodPut:
		o.put(w, r, key)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// SetRate limits all reads together to a rate in bytes per second; 0 removes the limit.
func (o *Objects) SetRate(bytesPerSecond float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limiter = nil
	if bytesPerSecond > 0 {
		o.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), pacedWrite)
	}
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request, key string) {
	o.mu.Lock()
	data, ok := o.objects[key]
	limiter := o.limiter
	if ok && strings.HasPrefix(key, "chunks/") {
		o.downloaded += int64(len(data))
	}
	o.mu.Unlock()
	if !ok {
		writeXML(w, http.StatusNotFound, missingBody)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if r.Method == http.MethodHead {
		return
	}
	writePaced(r.Context(), w, data, limiter)
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, key string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !o.store(key, body, r.Header.Get("If-None-Match") == "*") {
		writeXML(w, http.StatusPreconditionFailed, existsBody)
		return
	}
	if o.Faults.dropResponse() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (o *Objects) store(key string, body []byte, ifAbsent bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.objects[key]; exists && ifAbsent {
		return false
	}
	if o.objects == nil {
		o.objects = make(map[string][]byte)
	}
	o.objects[key] = body
	return true
}

// writePaced writes data as the limiter allows; a nil limiter does not delay.
func writePaced(ctx context.Context, w io.Writer, data []byte, limiter *rate.Limiter) {
	for len(data) > 0 {
		n := min(len(data), pacedWrite)
		if limiter != nil && limiter.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

func writeXML(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
