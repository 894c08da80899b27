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

// client sends the requests of callers. Like the platform's load balancer, it
// distributes them round robin over the entries and skips entries that refuse
// connections.
type client struct {
	cluster    *Cluster
	report     *Report
	http       *http.Client
	entryIndex atomic.Uint64
}

const (
	maxBookingAttempts = 3
	bookingRetryDelay  = 300 * time.Millisecond
	hungMargin         = 3 * time.Second // time past the deadline of the class after which a request counts as hung
)

func newClient(c *Cluster, r *Report) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &client{cluster: c, report: r, http: &http.Client{Transport: transport}}
}

// sendToEntry sends a POST request to the next entry that accepts a connection. It
// tries each entry once and returns the last dial error if none accepts.
func (c *client) sendToEntry(ctx context.Context, path, token, body, key string) (*http.Response, error) {
	var lastErr error
	for range c.cluster.Entries {
		e := c.cluster.Entries[c.entryIndex.Add(1)%uint64(len(c.cluster.Entries))]
		// NopCloser leaves GetBody unset, so that the transport doesn't retry by itself.
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
		var opErr *net.OpError
		if err != nil && errors.As(err, &opErr) && opErr.Op == "dial" {
			lastErr = err
			continue
		}
		return res, err
	}
	return nil, lastErr
}

// modelRequest is a chat completion request for a model or adapter.
type modelRequest struct {
	caller configurator.Caller
	token  string
	model  configurator.ModelName
	prompt string
	tokens int
	stream bool
}

// body returns the JSON body of the request and the text of the expected response.
func (m modelRequest) body() (string, string) {
	messages, _ := json.Marshal([]faker.Message{{Role: "user", Content: m.prompt}})
	body, _ := json.Marshal(map[string]any{"model": m.model, "stream": m.stream, "max_tokens": m.tokens, "messages": json.RawMessage(messages)})
	return string(body), strings.Join(faker.GenerateTokens(m.model, string(messages), m.tokens), "")
}

// callModel sends a request, adds its outcome to the report and returns whether the
// response was complete and correct.
func (c *client) callModel(ctx context.Context, m modelRequest) bool {
	body, want := m.body()
	s := sample{class: m.caller.Class, started: time.Now()}
	ctx, cancel := c.withHungTimeout(ctx, m.caller)
	defer cancel()
	res, err := c.sendToEntry(ctx, "/v1/chat/completions", m.token, body, "")
	if err != nil {
		s.outcome = hungOr(ctx, broken)
		c.report.addSample(s)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		s.outcome = errorOutcome(res)
		c.report.addSample(s)
		return false
	}
	var text string
	if m.stream {
		text = c.readStream(res.Body, &s)
	} else {
		text = c.readResponse(res.Body, &s)
	}
	s.duration = time.Since(s.started)
	s.outcome = hungOr(ctx, s.outcome)
	if s.outcome == complete && text != want {
		s.outcome = mixed
		if strings.HasPrefix(want, text) {
			s.outcome = truncated
		}
	}
	c.report.addSample(s)
	return s.outcome == complete
}

// withHungTimeout returns a context that ends hungMargin after the deadline of the
// caller's class.
func (c *client) withHungTimeout(ctx context.Context, caller configurator.Caller) (context.Context, context.CancelFunc) {
	class, _ := c.cluster.cfg.Configuration.Class(caller.Class)
	return context.WithTimeout(ctx, class.Timeout.Duration()+hungMargin)
}

// hungOr returns hung if the timeout of withHungTimeout has passed, and otherwise o.
func hungOr(ctx context.Context, o outcome) outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hung
	}
	return o
}

// errorOutcome returns the outcome of an error response by its Egretwall-Ran header.
func errorOutcome(res *http.Response) outcome {
	if res.Header.Get("Egretwall-Ran") == string(classifier.RanNo) {
		return notRun
	}
	return unknown
}

// readResponse reads a response that is not streamed, sets the outcome of s and
// returns the text.
func (c *client) readResponse(body io.Reader, s *sample) string {
	var response faker.CompletionResponse
	if err := json.NewDecoder(body).Decode(&response); err != nil || len(response.Choices) != 1 || response.Choices[0].Message == nil {
		s.outcome = broken
		return ""
	}
	s.outcome = complete
	return response.Choices[0].Message.Content
}

// readStream reads server-sent events up to the final one, sets the outcome and the
// latencies of s and returns the text.
func (c *client) readStream(body io.Reader, s *sample) string {
	var text strings.Builder
	failed := false
	lines := bufio.NewScanner(body)
	lastChunk := s.started
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
			s.outcome = complete
			return text.String()
		}
		var chunk faker.CompletionResponse
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
			s.outcome = mixed
			return ""
		}
		now := time.Now()
		if text.Len() == 0 {
			s.firstToken = now.Sub(s.started)
		} else {
			s.tokenGaps = append(s.tokenGaps, now.Sub(lastChunk))
		}
		lastChunk = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	switch {
	case failed:
		s.outcome = unknown
	case lines.Err() != nil:
		s.outcome = broken
	default:
		s.outcome = truncated // the stream ended without its final event
	}
	return text.String()
}

// bookingRequest is a non-idempotent request to the plain service.
type bookingRequest struct {
	caller  configurator.Caller
	token   string
	service configurator.ServiceName
	body    string
	key     string
}

// sendBooking sends a request. It retries a request with an idempotency key until a
// response is complete or the attempts are used up.
func (c *client) sendBooking(ctx context.Context, b bookingRequest) {
	attempts := 1
	if b.key != "" {
		attempts = maxBookingAttempts
	}
	result := bookingResult{body: b.body, keyed: b.key != ""}
	for attempt := range attempts {
		if attempt > 0 {
			time.Sleep(bookingRetryDelay)
		}
		s := sample{class: b.caller.Class, started: time.Now(), service: true}
		s.outcome = c.tryBooking(ctx, b)
		s.duration = time.Since(s.started)
		c.report.addSample(s)
		result.add(s.outcome)
		if s.outcome == complete {
			break
		}
	}
	c.report.addBooking(result)
}

// tryBooking sends a request once and returns its outcome.
func (c *client) tryBooking(ctx context.Context, b bookingRequest) outcome {
	ctx, cancel := c.withHungTimeout(ctx, b.caller)
	defer cancel()
	res, err := c.sendToEntry(ctx, "/svc/"+string(b.service)+"/orders", b.token, b.body, b.key)
	if err != nil {
		return hungOr(ctx, broken)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errorOutcome(res)
	}
	var response faker.BookingResponse
	if err := json.NewDecoder(res.Body).Decode(&response); err != nil {
		return broken
	}
	if response.Booked != b.body {
		return mixed
	}
	return complete
}
