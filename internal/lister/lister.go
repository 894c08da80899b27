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
	"net/http"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/verifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// State is the state of an instance on the platform.
type State string

// The states of instances. The list is updated with a delay, so a listed instance may
// already have ended.
const (
	Live    State = "live"
	Leaving State = "leaving" // being stopped
)

// Instance is a process of an entry or agent that the platform runs.
type Instance struct {
	Name         string                    `json:"name"`
	Upstream     configurator.UpstreamName `json:"upstream,omitempty"` // upstream of an agent, empty for an entry
	Address      string                    `json:"address,omitempty"`  // IP address and port where an agent listens for entries
	AdminAddress string                    `json:"admin"`              // IP address and port for operators
	State        State                     `json:"state"`
}

const (
	listTimeout  = time.Second // without any progress
	maxListBytes = 16 << 20
)

// Config configures a Client.
type Config struct {
	Address string // IP address and port of the platform's list of instances
}

// Client reads the platform's list of instances over HTTP.
type Client struct {
	cfg    Config
	client *http.Client
	puller *puller.Puller
}

// NewClient returns a client. It connects on the first request.
func NewClient(cfg Config) *Client {
	client := verifier.NewClient(&http.Transport{})
	return &Client{cfg: cfg, client: client, puller: puller.New(puller.Config{Client: client, Timeout: listTimeout, MaxBytes: maxListBytes})}
}

// List returns all listed instances and the size of the response in bytes. Its errors
// are of kind classifier.Lost, or classifier.Internal if the address is not valid.
func (c *Client) List(ctx context.Context) ([]Instance, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+"/instances", nil)
	if err != nil {
		return nil, 0, classifier.Wrap(classifier.Internal, err, "list instances")
	}
	res, err := c.puller.Pull(req, puller.Options{})
	if err != nil {
		c.client.CloseIdleConnections()
		return nil, 0, classifier.Wrap(classifier.Lost, err, "list instances")
	}
	if res.Status != http.StatusOK {
		return nil, 0, classifier.New(classifier.Lost, "list instances: status %d", res.Status)
	}
	var instances []Instance
	if err := json.Unmarshal(res.Body, &instances); err != nil {
		return nil, 0, classifier.Wrap(classifier.Lost, err, "read list of instances")
	}
	return instances, len(res.Body), nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}
