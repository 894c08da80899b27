package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// sameAddress sends each request to one address and keeps nothing of it.
type sameAddress struct {
	*plainDecider
	address string
}

func (d *sameAddress) Submit(_ dispatcher.Request, box *Mailbox) dispatcher.RequestID {
	box.Put(dispatcher.Send{ID: 1, Try: 1, Upstream: "u", Address: d.address, Timeout: time.Minute})
	return 1
}

func (d *sameAddress) Reduce(dispatcher.Event) {}

// BenchmarkStream serves streams on kept connections. The difference between the
// two sizes is what an event costs; caller and upstream are included, as they
// share the process.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 49} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			chunk := make([][]byte, events)
			for i := range chunk {
				event := fmt.Sprintf("id: %d\ndata: some text of six tokens\n\n", i)
				chunk[i] = fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go answerStreams(c, chunk)
				}
			}()
			front, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			g := New(Config{HeaderCodec: plainDialect{}, Dispatcher: &sameAddress{newDecider(), l.Addr().String()}, Logger: zerolog.Nop()})
			go func() { _ = g.Serve(front) }()
			defer func() { _ = g.server.Close() }()
			caller, err := net.Dial("tcp", front.Addr().String())
			require.NoError(b, err)
			reader := bufio.NewReader(caller)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(caller, "POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nContent-Length: 4\r\n\r\nbody")
				require.NoError(b, err)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(b, err)
			}
		})
	}
}

func answerStreams(c net.Conn, chunks [][]byte) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if req, _ := readRequest(r); req == nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range chunks {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}
