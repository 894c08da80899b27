package linker

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// ServerConfig connects a Server with its agent.
type ServerConfig struct {
	Agent       string
	Incarnation reducer.Incarnation
	Post        func(reducer.Event)
	Residents   func() *linkpb.Holds    // what the runner holds now
	Document    func() *linkpb.Document // accepted configuration, nil without one
}

// Server accepts the connections of entries.
type Server struct {
	linkpb.UnimplementedLinkServer
	cfg ServerConfig

	mu    sync.Mutex
	conns map[reducer.EntryID]*serverConn
}

type serverConn struct {
	epoch       reducer.Epoch
	incarnation reducer.Incarnation
	out         *queue[*linkpb.Down]
	done        chan struct{}
}

// NewServer returns the link service of an agent.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, conns: map[reducer.EntryID]*serverConn{}}
}

// Open serves one connection of an entry.
func (s *Server) Open(stream linkpb.Link_OpenServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return status.Error(codes.InvalidArgument, "send hello first")
	}
	entry := reducer.EntryID(hello.Entry)
	conn := &serverConn{
		epoch: reducer.Epoch(hello.Epoch), incarnation: reducer.Incarnation(hello.Incarnation),
		out: newQueue[*linkpb.Down](), done: make(chan struct{}),
	}
	welcome := &linkpb.Welcome{Agent: s.cfg.Agent, Incarnation: uint64(s.cfg.Incarnation), Epoch: hello.Epoch}
	if err := stream.Send(&linkpb.Down{Kind: &linkpb.Down_Welcome{Welcome: welcome}}); err != nil {
		return err
	}
	if !s.register(entry, conn) {
		return status.Error(codes.Aborted, "a newer connection is open")
	}
	defer s.unregister(entry, conn)
	s.cfg.Post(reducer.EntryConnected{Entry: entry, Incarnation: conn.incarnation, Epoch: conn.epoch, Version: configurator.Version(hello.Version)})
	go conn.out.drain(stream.Context().Done(), stream.Send)
	go s.receive(entry, conn, stream)
	select {
	case <-conn.done:
	case <-stream.Context().Done():
	}
	s.cfg.Post(reducer.EntryDisconnected{Entry: entry, Epoch: conn.epoch})
	return nil
}

func (s *Server) receive(entry reducer.EntryID, conn *serverConn, stream linkpb.Link_OpenServer) {
	for {
		up, err := stream.Recv()
		if err != nil {
			s.end(conn)
			return
		}
		s.cfg.Post(reducer.MessageFromEntry{Entry: entry, Epoch: conn.epoch, Message: up})
	}
}

// register makes conn the connection of its entry and ends an older one.
func (s *Server) register(entry reducer.EntryID, conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.conns[entry]
	if old != nil && old.incarnation == conn.incarnation && old.epoch > conn.epoch {
		return false
	}
	if old != nil {
		closeOnce(old.done)
	}
	s.conns[entry] = conn
	return true
}

func (s *Server) unregister(entry reducer.EntryID, conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[entry] == conn {
		delete(s.conns, entry)
	}
}

func (s *Server) end(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeOnce(conn.done)
}

func closeOnce(done chan struct{}) {
	select {
	case <-done:
	default:
		close(done)
	}
}

// Send queues a message for an entry; it is dropped when the connection is gone.
func (s *Server) Send(entry reducer.EntryID, epoch reducer.Epoch, down *linkpb.Down) {
	s.mu.Lock()
	conn := s.conns[entry]
	s.mu.Unlock()
	if conn != nil && conn.epoch == epoch {
		conn.out.push(down)
	}
}

// Look returns what the runner holds.
func (s *Server) Look(context.Context, *linkpb.LookRequest) (*linkpb.Holds, error) {
	return s.cfg.Residents(), nil
}

// Fetch returns the accepted configuration.
func (s *Server) Fetch(context.Context, *linkpb.LookRequest) (*linkpb.Document, error) {
	doc := s.cfg.Document()
	if doc == nil {
		return nil, status.Error(codes.NotFound, "no configuration is in force yet")
	}
	return doc, nil
}
