package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/verifier"
)

// Timeouts and limits of the client.
const (
	dialTimeout      = 300 * time.Millisecond
	callTimeout      = time.Second             // without any progress, after which a connection is unresponsive
	readWait         = 1500 * time.Millisecond // how long the log waits for new records before it responds
	maxResponseBytes = 16 << 20
)

// Config configures a Client.
type Config struct {
	Address string // IP address and port of the platform's log
}

// Client reads and appends to the log over HTTP. After a request that failed or timed
// out, the next one uses a new connection.
type Client struct {
	cfg    Config
	client *http.Client
	puller *puller.Puller
}

// NewClient returns a client. It connects on the first request.
func NewClient(cfg Config) *Client {
	client := verifier.NewClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
	})
	return &Client{cfg: cfg, client: client, puller: puller.New(puller.Config{
		Client: client, Timeout: callTimeout, MaxBytes: maxResponseBytes,
	})}
}

// RawRecord is a record that has not been decoded, as the log returns it.
type RawRecord struct {
	Offset    Offset          `json:"offset"`
	LogTimeMs int64           `json:"time"` // log's clock when the record was appended
	Data      json.RawMessage `json:"data"`
}

// ReadResponse is the log's JSON response to a read. Its fields are those of Batch.
type ReadResponse struct {
	FirstOffset Offset      `json:"first"`
	NextOffset  Offset      `json:"next"`
	LogTimeMs   int64       `json:"time"`
	Records     []RawRecord `json:"records"`
}

// AppendResponse is the log's JSON response to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// Append appends one record and returns its offset. After an error of kind
// classifier.Lost the record may nevertheless be in the log.
func (c *Client) Append(ctx context.Context, stream Stream, r Record) (Offset, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "encode log record")
	}
	var response AppendResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("append", stream), bytes.NewReader(data))
	if err != nil {
		return 0, classifier.Wrap(classifier.Internal, err, "append to log")
	}
	if err := c.do(req, 0, &response); err != nil {
		return 0, err
	}
	return response.Offset, nil
}

// Read returns the records at or after offset from. If there are none, it waits up to
// readWait for one. Records that can't be decoded are skipped.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset) (Batch, error) {
	address := fmt.Sprintf("%s&from=%d&wait=%d", c.url("read", stream), from, readWait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Batch{}, classifier.Wrap(classifier.Internal, err, "read log")
	}
	var response ReadResponse
	if err := c.do(req, readWait, &response); err != nil {
		return Batch{}, err
	}
	batch := Batch{FirstOffset: response.FirstOffset, NextOffset: response.NextOffset, LogTimeMs: response.LogTimeMs}
	for _, raw := range response.Records {
		r, err := Decode(raw.Data)
		if err != nil {
			continue
		}
		r.Offset, r.LogTimeMs = raw.Offset, raw.LogTimeMs
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

func (c *Client) url(action string, stream Stream) string {
	return "http://" + c.cfg.Address + "/" + action + "?stream=" + url.QueryEscape(string(stream))
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// do sends a request, which the log may hold for wait, and decodes the JSON response.
func (c *Client) do(req *http.Request, wait time.Duration, response any) error {
	res, err := c.puller.Pull(req, puller.Options{Wait: wait})
	if err != nil {
		c.client.CloseIdleConnections()
		return classifier.Wrap(classifier.Lost, err, "send request to log")
	}
	if res.Status != http.StatusOK {
		return classifier.New(classifier.Busy, "log responded with status %d", res.Status)
	}
	if err := json.Unmarshal(res.Body, response); err != nil {
		return classifier.Wrap(classifier.Lost, err, "decode response of log")
	}
	return nil
}
