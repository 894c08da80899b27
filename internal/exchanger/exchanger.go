// Package exchanger serves the configuration in force to other processes of the system
// and fetches it from them, for when they can't read it from the platform's store.
//
// Usage:
//
//	s, err := exchanger.New(exchanger.Config{Address: "10.1.0.38:7380", Current: current})
//	go s.Run(ctx)
//	record, err := exchanger.Fetch(ctx, "10.1.0.40:7380")
//
// The record of the store is passed on unchanged, so the receiver validates it as if it
// came from the store.
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

// CallTimeout limits a fetch, and how long a Server waits for a client.
const CallTimeout = 2 * time.Second

const (
	configurationPath = "/configuration"
	maxRecordBytes    = 4 << 20 // enough for many thousand routes
)

// Record is the store's record of a configuration, still encoded.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Config configures a Server.
type Config struct {
	Address string // to listen on, as host:port
	// Current returns the record of the configuration in force; its Value is nil if there
	// is none.
	Current func() Record
}

// Server serves the configuration in force over HTTP.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// New returns a server that listens on cfg.Address.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for configuration requests: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		r := cfg.Current()
		if r.Value == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// Encode fails only when the client has closed its connection.
		_ = json.NewEncoder(w).Encode(r)
	})
	return &Server{l, &http.Server{Handler: mux, ReadHeaderTimeout: CallTimeout, WriteTimeout: CallTimeout, IdleTimeout: CallTimeout}}, nil
}

// Address returns the address that the server listens on, as host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends and then returns nil.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve configuration: %w", err)
	}
	return nil
}

// Fetch fetches the record of the configuration in force at the process that serves it on
// address, as host:port. It fails if that process has none.
func Fetch(ctx context.Context, address string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath, nil)
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
		return Record{}, fmt.Errorf("fetch configuration from %s: HTTP status %d", address, resp.StatusCode)
	}
	var r Record
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRecordBytes)).Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode configuration from %s: %w", address, err)
	}
	return r, nil
}
