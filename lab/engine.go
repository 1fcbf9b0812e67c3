package lab

import (
	"context"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/upstream"
	"github.com/coralstair/coralstair/weights"
)

// Engine is a fake model engine: it loads weights under fenced orders, verifies their digest and streams answers.
// Every token depends on the weights and the prompt, so that callers detect a mixed or misrouted answer.
type Engine struct {
	// TokenTime is the delay before each token.
	TokenTime time.Duration
	// Slots limits concurrent answers; 0 means no limit.
	Slots int
	// IgnoreFence makes the engine accept orders with any fence.
	IgnoreFence bool
	// Runs counts the requests that ran.
	Runs Runs

	mu    sync.Mutex
	state upstream.State
	slots chan struct{}
	// retryAfter is the Retry-After of refusals; while it is not 0 all requests are refused.
	retryAfter time.Duration
	refused    int
}

// ChatRequest holds the fields of a chat completion request that the fake engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatChunk is one event of a streamed answer, or a complete answer.
type ChatChunk struct {
	ID          string       `json:"id"`
	Object      string       `json:"object"`
	Model       string       `json:"model"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []ChatChoice `json:"choices"`
}

// ChatChoice is the only choice in a chunk.
type ChatChoice struct {
	Index        int          `json:"index"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

const (
	defaultTokens = 16
	tokenBytes    = 5
	requestHeader = "X-Request-Id"
	resumeHeader  = "X-Resume-Events"
)

// Token returns token i of the answer to a prompt for a weights digest.
func Token(digest, prompt string, i int) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, digest+"\x00"+prompt)
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(i))
	sum.Write(number[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(sum.Sum(nil)[:tokenBytes])) + " "
}

// Handler resets the engine and returns its HTTP handler.
func (e *Engine) Handler() http.Handler {
	e.state.Phase = upstream.PhaseEmpty
	if e.Slots > 0 {
		e.slots = make(chan struct{}, e.Slots)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+upstream.PathState, e.serveState)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /runs", e.Runs.serve)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// State returns the state that the engine reports to its box.
func (e *Engine) State() upstream.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// SetRetryAfter makes the engine refuse all requests with this Retry-After; 0 accepts requests again.
func (e *Engine) SetRetryAfter(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = delay
}

// RefusedRequests returns how many requests the engine has refused.
func (e *Engine) RefusedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// refuse returns the Retry-After of a refused request and counts it; 0 means that the request is accepted.
func (e *Engine) refuse() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.retryAfter > 0 {
		e.refused++
	}
	return e.retryAfter
}

func (e *Engine) load(order upstream.Order) {
	digest, err := fetchDigest(order.Source)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Fence != order.Fence {
		return
	}
	switch {
	case err != nil:
		e.state.Phase, e.state.Error = upstream.PhaseFailed, err.Error()
	case digest != order.Digest:
		e.state.Phase, e.state.Error = upstream.PhaseFailed, "weights have digest "+digest
	default:
		e.state.Phase, e.state.Digest, e.state.Version = upstream.PhaseReady, digest, order.Version
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "invalid chat request", http.StatusBadRequest)
		return
	}
	if delay := e.refuse(); delay > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(delay.Seconds())))
		http.Error(w, "the engine accepts no requests for now", http.StatusServiceUnavailable)
		return
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer e.releaseSlot()
	state := e.State()
	if state.Phase != upstream.PhaseReady {
		http.Error(w, "no weights loaded", http.StatusServiceUnavailable)
		return
	}
	e.Runs.add(r.Header.Get(requestHeader))
	w.Header().Set("X-Model-Digest", state.Digest)
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	answer := answerer{engine: e, req: req, prompt: req.Messages[len(req.Messages)-1].Content, digest: state.Digest}
	if req.Stream {
		answer.stream(w, r)
		return
	}
	answer.complete(w, r)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.IgnoreFence && !e.state.Fence.Less(order.Fence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.state = upstream.State{Phase: upstream.PhaseEmpty, Fence: order.Fence}
	if order.Action == upstream.ActionLoad {
		e.state.Phase = upstream.PhaseLoading
		go e.load(order)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.State())
}

func (e *Engine) acquireSlot(ctx context.Context) bool {
	if e.slots == nil {
		return true
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	if e.slots != nil {
		<-e.slots
	}
}

// answerer generates one answer; each token uses the weights loaded at that moment.
type answerer struct {
	engine *Engine
	req    ChatRequest
	prompt string
	digest string
}

func (a answerer) chunk(choice ChatChoice) ChatChunk {
	return ChatChunk{
		ID: "chat", Object: "chat.completion.chunk", Model: a.req.Model,
		Fingerprint: a.digest, Choices: []ChatChoice{choice},
	}
}

func (a answerer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	done, err := strconv.Atoi(r.Header.Get(resumeHeader))
	if err != nil {
		done = 0
	}
	for i := done; i < a.req.MaxTokens; i++ {
		if !a.waitToken(r) {
			return
		}
		delta := &ChatMessage{Role: "assistant", Content: Token(a.engine.State().Digest, a.prompt, i)}
		writeEvent(w, a.chunk(ChatChoice{Delta: delta}))
	}
	stop := "stop"
	writeEvent(w, a.chunk(ChatChoice{Delta: &ChatMessage{}, FinishReason: &stop}))
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (a answerer) complete(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for i := range a.req.MaxTokens {
		if !a.waitToken(r) {
			return
		}
		text.WriteString(Token(a.engine.State().Digest, a.prompt, i))
	}
	stop := "stop"
	answer := a.chunk(ChatChoice{Message: &ChatMessage{Role: "assistant", Content: text.String()}, FinishReason: &stop})
	answer.Object = "chat.completion"
	writeJSON(w, answer)
}

func (a answerer) waitToken(r *http.Request) bool {
	select {
	case <-time.After(a.engine.TokenTime):
		return true
	case <-r.Context().Done():
		return false
	}
}

// fetchDigest downloads weights from a box and returns their digest.
func fetchDigest(source string) (string, error) {
	resp, err := http.Get(source)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("weights: status %s", resp.Status)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, resp.Body); err != nil {
		return "", err
	}
	var digest weights.Digest
	sum.Sum(digest[:0])
	return digest.String(), nil
}

func writeEvent(w http.ResponseWriter, event any) {
	data, err := json.Marshal(event)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
