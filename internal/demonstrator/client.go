package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// client plays callers. Like the platform's balancer it takes the entries in
// turn and skips those that refuse connections.
type client struct {
	cluster *Cluster
	report  *Report
	http    *http.Client
	turn    atomic.Uint64
}

const (
	bookingTries = 3
	bookingPause = 300 * time.Millisecond
	hungAfter    = 3 * time.Second // past the deadline of the class
)

func newClient(c *Cluster, r *Report) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{cluster: c, report: r, http: &http.Client{Transport: transport}}
}

// do sends a request to the next entry that takes the connection.
func (c *client) do(ctx context.Context, path, token, body, key string) (*http.Response, error) {
	var last error
	for range c.cluster.Entries {
		e := c.cluster.Entries[c.turn.Add(1)%uint64(len(c.cluster.Entries))]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, io.NopCloser(strings.NewReader(body)))
		if err != nil {
			return nil, err
		}
		req.ContentLength = int64(len(body))
		req.Header.Set("Authorization", "Bearer "+token)
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		res, err := c.http.Do(req)
		var op *net.OpError
		if err != nil && errors.As(err, &op) && op.Op == "dial" {
			last = err
			continue
		}
		return res, err
	}
	return nil, last
}

// modelCall is one request for a model.
type modelCall struct {
	caller configurator.Caller
	token  string
	model  configurator.ModelName
	prompt string
	tokens int
	stream bool
}

func (m modelCall) body() (string, string) {
	messages, _ := json.Marshal([]faker.Message{{Role: "user", Content: m.prompt}})
	body, _ := json.Marshal(map[string]any{"model": m.model, "stream": m.stream, "max_tokens": m.tokens, "messages": json.RawMessage(messages)})
	return string(body), strings.Join(faker.GenerateTokens(m.model, string(messages), m.tokens), "")
}

// callModel sends a request, checks its answer and tells whether it was whole.
func (c *client) callModel(ctx context.Context, m modelCall) bool {
	body, want := m.body()
	seen := sample{class: m.caller.Class, begun: time.Now()}
	ctx, cancel := c.patience(ctx, m.caller)
	defer cancel()
	res, err := c.do(ctx, "/v1/chat/completions", m.token, body, "")
	if err != nil {
		seen.outcome = brokenOr(ctx, broken)
		c.report.add(seen)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		seen.outcome = outcomeOf(res)
		c.report.add(seen)
		return false
	}
	var text string
	if m.stream {
		text = c.readStream(res.Body, &seen)
	} else {
		text = c.readWhole(res.Body, &seen)
	}
	seen.took = time.Since(seen.begun)
	seen.outcome = brokenOr(ctx, seen.outcome)
	if seen.outcome == whole && text != want {
		seen.outcome = mixed
		if strings.HasPrefix(want, text) {
			seen.outcome = cut
		}
	}
	c.report.add(seen)
	return seen.outcome == whole
}

// patience ends a request that has no answer well after its deadline.
func (c *client) patience(ctx context.Context, caller configurator.Caller) (context.Context, context.CancelFunc) {
	class, _ := c.cluster.cfg.Configuration.Class(caller.Class)
	return context.WithTimeout(ctx, class.Timeout.Duration()+hungAfter)
}

// brokenOr returns o, or that the request hung when patience has ended.
func brokenOr(ctx context.Context, o outcome) outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hung
	}
	return o
}

func outcomeOf(res *http.Response) outcome {
	if res.Header.Get("Egretwall-Ran") == string(classifier.RanNo) {
		return notRun
	}
	return unknown
}

func (c *client) readWhole(body io.Reader, seen *sample) string {
	var answer faker.CompletionResponse
	if err := json.NewDecoder(body).Decode(&answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		seen.outcome = broken
		return ""
	}
	seen.outcome = whole
	return answer.Choices[0].Message.Content
}

// readStream reads events up to the last one.
func (c *client) readStream(body io.Reader, seen *sample) string {
	var text strings.Builder
	failed := false
	lines := bufio.NewScanner(body)
	last := seen.begun
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || failed {
			continue
		}
		if data == "[DONE]" {
			seen.outcome = whole
			return text.String()
		}
		var ev faker.CompletionResponse
		if json.Unmarshal([]byte(data), &ev) != nil || len(ev.Choices) != 1 || ev.Choices[0].Delta == nil {
			seen.outcome = mixed
			return ""
		}
		now := time.Now()
		if text.Len() == 0 {
			seen.first = now.Sub(seen.begun)
		} else {
			seen.gaps = append(seen.gaps, now.Sub(last))
		}
		last = now
		text.WriteString(ev.Choices[0].Delta.Content)
	}
	switch {
	case failed:
		seen.outcome = unknown
	case lines.Err() != nil:
		seen.outcome = broken
	default:
		seen.outcome = cut // ended without its last event
	}
	return text.String()
}

// bookingCall is one call that must not run twice.
type bookingCall struct {
	caller  configurator.Caller
	token   string
	service configurator.ServiceName
	body    string
	key     string
}

// book sends a call; one with a key is sent again when its outcome is unknown.
func (c *client) book(ctx context.Context, b bookingCall) {
	tries := 1
	if b.key != "" {
		tries = bookingTries
	}
	result := booking{body: b.body, keyed: b.key != ""}
	for try := range tries {
		if try > 0 {
			time.Sleep(bookingPause)
		}
		seen := sample{class: b.caller.Class, begun: time.Now(), service: true}
		seen.outcome = c.bookOnce(ctx, b)
		seen.took = time.Since(seen.begun)
		c.report.add(seen)
		result.add(seen.outcome)
		if seen.outcome == whole {
			break
		}
	}
	c.report.book(result)
}

func (c *client) bookOnce(ctx context.Context, b bookingCall) outcome {
	ctx, cancel := c.patience(ctx, b.caller)
	defer cancel()
	res, err := c.do(ctx, "/svc/"+string(b.service)+"/orders", b.token, b.body, b.key)
	if err != nil {
		return brokenOr(ctx, broken)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return outcomeOf(res)
	}
	var receipt faker.BookingResponse
	if err := json.NewDecoder(res.Body).Decode(&receipt); err != nil {
		return broken
	}
	if receipt.Booked != b.body {
		return mixed
	}
	return whole
}
