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

// CompletionRequest holds the fields of a completion request that Engine reads.
type CompletionRequest struct {
	Model     configurator.ModelName `json:"model"`
	Messages  json.RawMessage        `json:"messages"`
	Prompt    json.RawMessage        `json:"prompt"`
	Stream    bool                   `json:"stream"`
	MaxTokens int                    `json:"max_tokens"`
	Resume    *forwarder.ResumePoint `json:"resume"`
}

// GenerateTokens returns the n tokens of an engine's response. They depend only
// on the model and the prompt, so a client can compute the expected response.
func GenerateTokens(m configurator.ModelName, prompt string, n int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(m) + "\x00" + prompt))
	seed := h.Sum64()
	tokens := make([]string, n)
	for i := range tokens {
		// A step of a linear congruential generator, with Knuth's MMIX constants.
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = fmt.Sprintf("w%d-%04x ", i, seed>>48)
	}
	return tokens
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c CompletionRequest
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if !e.beginRequest(c.Model) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	defer e.endRequest()
	tokens := GenerateTokens(c.Model, string(c.Messages)+string(c.Prompt), c.MaxTokens)
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat")
	if c.Stream {
		e.streamResponse(w, r, c, tokens, chat)
		return
	}
	sleepUnlessCancelled(r, e.cfg.PrefillTime+time.Duration(len(tokens))*e.cfg.TokenGap)
	if r.Context().Err() != nil {
		e.countCancelled()
		return
	}
	writeJSON(w, NewCompletionResponse(c.Model, strings.Join(tokens, ""), chat))
}

// beginRequest counts a request as active. It returns false if the model or its
// base model isn't resident.
func (e *Engine) beginRequest(m configurator.ModelName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.residents[m] == 0 || e.residents[e.cfg.BaseModels[m]] == 0 {
		return false
	}
	if e.active == 0 {
		e.busySince = time.Now()
	}
	e.active++
	return true
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 {
		e.busyTime += time.Since(e.busySince)
	}
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

// streamResponse sends one token per server-sent event, and comments as
// keep-alives in between. A resumed request gets only the tokens it lacks.
func (e *Engine) streamResponse(w http.ResponseWriter, r *http.Request, c CompletionRequest, tokens []string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	if !e.waitKeepingAlive(w, r, flusher, e.cfg.PrefillTime) {
		return
	}
	if c.Resume != nil {
		tokens = tokens[min(int(c.Resume.Tokens), len(tokens)):]
	}
	for i, token := range tokens {
		if i > 0 && !e.waitKeepingAlive(w, r, flusher, e.cfg.TokenGap) {
			return
		}
		data, err := json.Marshal(NewCompletionChunk(c.Model, token, chat))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// waitKeepingAlive waits for d and sends keep-alive comments meanwhile. It returns
// false when the request was cancelled, and aborts the connection when the engine
// was killed.
func (e *Engine) waitKeepingAlive(w http.ResponseWriter, r *http.Request, flusher http.Flusher, d time.Duration) bool {
	for d > 0 {
		step := min(d, keepAlivePeriod)
		sleepUnlessCancelled(r, step)
		d -= step
		if r.Context().Err() != nil || e.isKilled() {
			e.countCancelled()
			if e.isKilled() {
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

func (e *Engine) isKilled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed
}
