// Package lister reads the platform's list of instances.
//
// Usage:
//
//	l := lister.NewClient(lister.Config{Address: "10.0.0.1:9001"})
//	instances, size, err := l.List(ctx)
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// State tells what the platform is doing with an instance.
type State string

// The states of instances. The list lags: an instance may be gone already.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is a process that the platform runs.
type Instance struct {
	Name         string                    `json:"name"`
	Upstream     configurator.UpstreamName `json:"upstream,omitempty"` // of an agent
	Address      string                    `json:"address,omitempty"`  // where an agent listens for entries
	AdminAddress string                    `json:"admin"`
	State        State                     `json:"state"`
}

const (
	listTimeout = time.Second
	maxList     = 16 << 20 // bytes
)

// Config names the list to use.
type Config struct {
	Address string // IP number and port of the platform's list
}

// Client reads the list over HTTP.
type Client struct {
	cfg    Config
	client *http.Client
}

// NewClient returns a client of the list.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, client: &http.Client{Timeout: listTimeout, Transport: &http.Transport{}}}
}

// List returns all instances that the platform shows, and the size of the
// answer in bytes.
func (c *Client) List(ctx context.Context) ([]Instance, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+"/instances", nil)
	if err != nil {
		return nil, 0, classifier.Wrap(classifier.Internal, err, "list instances")
	}
	res, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, 0, classifier.Wrap(classifier.Lost, err, "list instances")
	}
	defer func() { _ = res.Body.Close() }()
	var instances []Instance
	data, err := io.ReadAll(io.LimitReader(res.Body, maxList))
	if err == nil {
		err = json.Unmarshal(data, &instances)
	}
	if err != nil {
		return nil, 0, classifier.Wrap(classifier.Lost, err, "read list of instances")
	}
	return instances, len(data), nil
}

// Close releases the idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
