// Package exchanger serves the configuration in force to other processes of the system
// and fetches it from them, for when they can't read it from the platform's store.
//
// Usage:
//
//	s, err := exchanger.New(exchanger.Config{Address: "10.1.0.38:7380", Current: current})
//	go s.Run(ctx)
//	record, err := exchanger.Fetch(ctx, exchanger.Request{Address: "10.1.0.40:7380", After: 16})
//
// The record of the store is passed on unchanged, so the receiver validates it as if it
// came from the store. It is sent in CBOR and compressed, since it may have thousands of
// routes and links may be slow; to earlier builds, whose requests name no version, in JSON.
package exchanger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/verifier"
)

// CallTimeout is the longest time for which a client or a Server waits without any progress.
const CallTimeout = 2 * time.Second

const (
	configurationPath = "/configuration"
	afterParameter    = "after"
	contentTypeCBOR   = "application/cbor"
	maxRecordBytes    = 16 << 20 // of a record as it is sent, uncompressed
	maxHeaderBytes    = 16 << 10 // of a request or a response
	partBytes         = 32 << 10 // written within CallTimeout
)

// ErrNotNewer is returned by Fetch when the process has no newer configuration.
var ErrNotNewer = errors.New("the process has no newer configuration")

// Record is the store's record of a configuration, still encoded.
type Record struct {
	Key     string            `json:"key" cbor:"1,keyasint"`
	Value   []byte            `json:"value" cbor:"2,keyasint"`
	Version registrar.Version `json:"version,omitempty" cbor:"3,keyasint"` // zero from earlier builds
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
	cfg      Config
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	encoded []byte            // the record of version as it is sent
	version registrar.Version // zero before the first
}

// New returns a server that listens on cfg.Address.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for configuration requests: %w", err)
	}
	s := &Server{cfg: cfg, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, s.serveConfiguration)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: CallTimeout, IdleTimeout: CallTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s, nil
}

// serveConfiguration answers with the configuration in force: 204 if it is not newer than the
// version that the client has, and 404 without one.
func (s *Server) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	record := s.cfg.Current()
	if record.Value == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !r.URL.Query().Has(afterParameter) {
		data, err := json.Marshal(record)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		writeParts(w, data)
		return
	}
	if after, err := strconv.ParseInt(r.URL.Query().Get(afterParameter), 10, 64); err == nil && record.Version <= registrar.Version(after) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := s.encode(record)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeCBOR)
	w.Header().Set("Content-Encoding", "gzip")
	writeParts(w, data)
}

// writeParts writes a body as long as the client goes on reading it.
func writeParts(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	c := http.NewResponseController(w)
	for len(data) > 0 {
		n := min(len(data), partBytes)
		if c.SetWriteDeadline(time.Now().Add(CallTimeout)) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// encode returns a record as it is sent. Each version is compressed once.
func (s *Server) encode(r Record) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded != nil && s.version == r.Version {
		return s.encoded, nil
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	s.encoded, s.version = compressed.Bytes(), r.Version
	return s.encoded, nil
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

// Request is a request for a configuration.
type Request struct {
	Address  string            // of the process that serves it, as host:port
	After    registrar.Version // only a newer one is wanted
	Progress func()            // called as parts of the response come; may be nil
}

// Fetch fetches the record of the configuration in force at another process. It fails with
// ErrNotNewer if that is not newer than r.After.
func Fetch(ctx context.Context, r Request) (Record, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d", r.Address, configurationPath, afterParameter, r.After)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Record{}, err
	}
	client := verifier.NewClient(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}) // decompresses the body
	p := puller.New(puller.Config{Client: client, Timeout: CallTimeout, MaxBytes: maxRecordBytes})
	resp, err := p.Pull(req, puller.Options{Progress: func(puller.Response) {
		if r.Progress != nil {
			r.Progress()
		}
	}})
	if err != nil {
		return Record{}, fmt.Errorf("fetch configuration from %s: %w", r.Address, err)
	}
	switch resp.Status {
	case http.StatusOK:
	case http.StatusNoContent:
		return Record{}, ErrNotNewer
	default:
		return Record{}, fmt.Errorf("fetch configuration from %s: HTTP status %d", r.Address, resp.Status)
	}
	decode := json.Unmarshal
	if resp.Header.Get("Content-Type") == contentTypeCBOR {
		decode = cbor.Unmarshal
	}
	var record Record
	if err := decode(resp.Body, &record); err != nil {
		return Record{}, fmt.Errorf("decode configuration from %s: %w", r.Address, err)
	}
	return record, nil
}
