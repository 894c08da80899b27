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

// ServerConfig configures a Server.
type ServerConfig struct {
	Agent       string // name of the agent's upstream
	Incarnation reducer.Incarnation
	Post        func(reducer.Event)     // passes an event to the agent's reducer
	Residents   func() *linkpb.Holds    // models resident on the runner now
	Document    func() *linkpb.Document // snapshot of the configuration in force, nil without one
}

// Server serves an agent's connections from entries. It is safe for concurrent use.
type Server struct {
	linkpb.UnimplementedLinkServer
	cfg ServerConfig

	mu    sync.Mutex
	conns map[reducer.EntryID]*serverConn
}

type serverConn struct {
	epoch       reducer.Epoch
	incarnation reducer.Incarnation
	sendQueue   *queue[*linkpb.Down]
	done        chan struct{}
}

// NewServer returns the implementation of the gRPC service Link.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, conns: map[reducer.EntryID]*serverConn{}}
}

// Open serves one connection from an entry. It posts EntryConnected, MessageFromEntry
// for each message and EntryDisconnected.
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
		sendQueue: newQueue[*linkpb.Down](), done: make(chan struct{}),
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
	go conn.sendQueue.sendLoop(stream.Context().Done(), stream.Send)
	go s.receive(entry, conn, stream)
	select {
	case <-conn.done:
	case <-stream.Context().Done():
	}
	s.cfg.Post(reducer.EntryDisconnected{Entry: entry, Epoch: conn.epoch})
	return nil
}

// receive posts the messages of a connection until it ends.
func (s *Server) receive(entry reducer.EntryID, conn *serverConn, stream linkpb.Link_OpenServer) {
	for {
		msg, err := stream.Recv()
		if err != nil {
			s.closeConn(conn)
			return
		}
		s.cfg.Post(reducer.MessageFromEntry{Entry: entry, Epoch: conn.epoch, Message: msg})
	}
}

// register makes conn the connection of its entry and closes the previous one. It
// returns false and keeps the previous one if that is newer, with the same incarnation
// and a higher epoch.
func (s *Server) register(entry reducer.EntryID, conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.conns[entry]
	if old != nil && old.incarnation == conn.incarnation && old.epoch > conn.epoch {
		return false
	}
	if old != nil {
		closeIfOpen(old.done)
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

func (s *Server) closeConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeIfOpen(conn.done)
}

func closeIfOpen(done chan struct{}) {
	select {
	case <-done:
	default:
		close(done)
	}
}

// Send queues a message for an entry. It drops the message if the connection with this
// epoch is no longer open.
func (s *Server) Send(entry reducer.EntryID, epoch reducer.Epoch, msg *linkpb.Down) {
	s.mu.Lock()
	conn := s.conns[entry]
	s.mu.Unlock()
	if conn != nil && conn.epoch == epoch {
		conn.sendQueue.push(msg)
	}
}

// Look returns the models resident on the runner.
func (s *Server) Look(context.Context, *linkpb.LookRequest) (*linkpb.Holds, error) {
	return s.cfg.Residents(), nil
}

// Fetch returns a snapshot of the configuration in force. The error has code NotFound
// while there is none.
func (s *Server) Fetch(context.Context, *linkpb.LookRequest) (*linkpb.Document, error) {
	doc := s.cfg.Document()
	if doc == nil {
		return nil, status.Error(codes.NotFound, "no configuration is in force yet")
	}
	return doc, nil
}
