package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Timeouts of the client.
const (
	dialTimeout   = 300 * time.Millisecond
	appendTimeout = time.Second
	readWait      = 1500 * time.Millisecond // how long the log holds a read open
	readTimeout   = 2500 * time.Millisecond // replaces a silent connection
	maxBatch      = 16 << 20                // bytes of one read
)

// Config names the log to use.
type Config struct {
	Address string // IP number and port of the platform's log
}

// Client talks to the log over HTTP. After a failed or silent request the next
// one uses a new connection.
type Client struct {
	cfg       Config
	transport *http.Transport
	client    *http.Client
}

// NewClient returns a client of the log.
func NewClient(cfg Config) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
	}
	return &Client{cfg: cfg, transport: transport, client: &http.Client{Transport: transport}}
}

// RawRecord is a record as the log's protocol carries it.
type RawRecord struct {
	Offset    Offset          `json:"offset"`
	LogTimeMs int64           `json:"time"`
	Data      json.RawMessage `json:"data"`
}

// ReadResponse is the log's answer to a read.
type ReadResponse struct {
	FirstOffset Offset      `json:"first"`
	NextOffset  Offset      `json:"next"`
	LogTimeMs   int64       `json:"time"`
	Records     []RawRecord `json:"records"`
}

// AppendResponse is the log's answer to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// Append writes one record and returns its offset. After an error of kind Lost
// the record may be in the log all the same.
func (c *Client) Append(ctx context.Context, stream Stream, r Record) (Offset, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "encode log record")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var receipt AppendResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("append", stream), bytes.NewReader(data))
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "append to log")
	}
	if err := c.do(req, &receipt); err != nil {
		return 0, err
	}
	return receipt.Offset, nil
}

// Read returns the records from offset from on and waits a little for new ones.
// Records that can't be decoded are skipped.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	address := fmt.Sprintf("%s&from=%d&wait=%d", c.url("read", stream), from, readWait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Batch{}, classifier.Wrap(classifier.Internal, err, "read log")
	}
	var page ReadResponse
	if err := c.do(req, &page); err != nil {
		return Batch{}, err
	}
	batch := Batch{FirstOffset: page.FirstOffset, NextOffset: page.NextOffset, LogTimeMs: page.LogTimeMs}
	for _, e := range page.Records {
		r, err := Decode(e.Data)
		if err != nil {
			continue
		}
		r.Offset, r.LogTimeMs = e.Offset, e.LogTimeMs
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

func (c *Client) url(action string, stream Stream) string {
	return "http://" + c.cfg.Address + "/" + action + "?stream=" + url.QueryEscape(string(stream))
}

// Close releases the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) do(req *http.Request, answer any) error {
	res, err := c.client.Do(req)
	if err != nil {
		c.transport.CloseIdleConnections()
		return classifier.Wrap(classifier.Lost, err, "call log")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBatch))
	if err != nil {
		return classifier.Wrap(classifier.Lost, err, "read answer of log")
	}
	if res.StatusCode != http.StatusOK {
		return classifier.New(classifier.Busy, "log answered %d", res.StatusCode)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return classifier.Wrap(classifier.Lost, err, "decode answer of log")
	}
	return nil
}
