// Package exchanger hands the configuration in force to other processes of the
// system, which may not get it from the platform's store.
//
// Usage:
//
//	e, err := exchanger.New(exchanger.Config{Address: "10.1.0.38:7380", Record: newest})
//	go e.Run(ctx)
//	record, err := exchanger.Fetch(ctx, "10.1.0.40:7380")
//
// A record travels as its writer made it, so that it is checked where it arrives
// as if it came from the store.
package exchanger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	path        = "/configuration"
	callTimeout = 2 * time.Second // the platform's bound on applying a change
	recordBound = 4 << 20         // bytes; a configuration of many thousand routes
)

// Record is a configuration as its writer made it.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Config configures an Exchanger.
type Config struct {
	Address string
	// Current returns the configuration in force; its value is nil before the
	// first.
	Current func() Record
}

// Server answers other processes.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// New listens on the address.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for other processes: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		r := cfg.Current()
		if r.Value == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// An error means that the caller has left.
		_ = json.NewEncoder(w).Encode(r)
	})
	return &Server{l, &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: callTimeout}}, nil
}

// Address returns where the exchanger listens.
func (e *Server) Address() string {
	return e.listener.Addr().String()
}

// Run answers until ctx ends.
func (e *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.server.Close() })
	defer stop()
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("answer other processes: %w", err)
	}
	return nil
}

// Fetch asks the process at an address for its configuration.
func Fetch(ctx context.Context, address string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Record{}, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Record{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Record{}, fmt.Errorf("%s answered %d for its configuration", address, resp.StatusCode)
	}
	var r Record
	if err := json.NewDecoder(io.LimitReader(resp.Body, recordBound)).Decode(&r); err != nil {
		return Record{}, fmt.Errorf("configuration of %s: %w", address, err)
	}
	return r, nil
}
