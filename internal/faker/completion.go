package faker

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"github.com/egretwall/egretwall/internal/forwarder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// CompletionRequest is the part of a request that the stand-in reads.
type CompletionRequest struct {
	Model     configurator.ModelName `json:"model"`
	Messages  json.RawMessage        `json:"messages"`
	Prompt    json.RawMessage        `json:"prompt"`
	Stream    bool                   `json:"stream"`
	MaxTokens int                    `json:"max_tokens"`
	Resume    *forwarder.ResumePoint `json:"resume"`
}

// GenerateTokens returns the text that an engine answers to a prompt.
func GenerateTokens(m configurator.ModelName, prompt string, n int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(m) + "\x00" + prompt))
	seed := h.Sum64()
	words := make([]string, n)
	for i := range words {
		seed = seed*6364136223846793005 + 1442695040888963407
		words[i] = fmt.Sprintf("w%d-%04x ", i, seed>>48)
	}
	return words
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c CompletionRequest
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	if !e.begin(c.Model) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	defer e.end()
	words := GenerateTokens(c.Model, string(c.Messages)+string(c.Prompt), c.MaxTokens)
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat")
	if c.Stream {
		e.stream(w, r, c, words, chat)
		return
	}
	pause(r, e.cfg.PrefillTime+time.Duration(len(words))*e.cfg.TokenGap)
	if r.Context().Err() != nil {
		e.noteCancelled()
		return
	}
	writeJSON(w, NewCompletionResponse(c.Model, strings.Join(words, ""), chat))
}

func (e *Engine) begin(m configurator.ModelName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.residents[m] == 0 || e.residents[e.cfg.BaseModels[m]] == 0 {
		return false
	}
	if e.active == 0 {
		e.busyFrom = time.Now()
	}
	e.active++
	return true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 {
		e.busy += time.Since(e.busyFrom)
	}
}

func (e *Engine) noteCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

// stream sends one word per event, and comments while there is none to send.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c CompletionRequest, words []string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	if !e.quiet(w, r, flusher, e.cfg.PrefillTime) {
		return
	}
	if c.Resume != nil {
		words = words[min(int(c.Resume.Tokens), len(words)):]
	}
	for i, word := range words {
		if i > 0 && !e.quiet(w, r, flusher, e.cfg.TokenGap) {
			return
		}
		data, err := json.Marshal(NewCompletionChunk(c.Model, word, chat))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// quiet waits and keeps the stream alive; it returns false when the request
// was cancelled.
func (e *Engine) quiet(w http.ResponseWriter, r *http.Request, flusher http.Flusher, d time.Duration) bool {
	for d > 0 {
		step := min(d, beatPeriod)
		pause(r, step)
		d -= step
		if r.Context().Err() != nil || e.isDead() {
			e.noteCancelled()
			if e.isDead() {
				panic(http.ErrAbortHandler)
			}
			return false
		}
		if d > 0 {
			_, _ = fmt.Fprint(w, ": beat\n\n")
			flusher.Flush()
		}
	}
	return true
}

func (e *Engine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}
