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

// fixedAddressDispatcher sends each request to one address and ignores events, so
// that it does not grow with the number of requests.
type fixedAddressDispatcher struct {
	*fakeDispatcher
	address string
}

func (d *fixedAddressDispatcher) Submit(_ dispatcher.Request, mailbox *Mailbox) dispatcher.RequestID {
	mailbox.Put(dispatcher.Send{ID: 1, Try: 1, Upstream: "u", Address: d.address, Timeout: time.Minute})
	return 1
}

func (d *fixedAddressDispatcher) Reduce(dispatcher.Event) {}

// BenchmarkStream relays streams over reused connections. The difference between
// the two sizes divided by the number of further events is the cost of an event. It
// includes the caller and the upstream, which run in the same process.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 49} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			chunks := make([][]byte, events)
			for i := range chunks {
				event := fmt.Sprintf("id: %d\ndata: some text of six tokens\n\n", i)
				chunks[i] = fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
			}
			upstreamListener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = upstreamListener.Close() }()
			go func() {
				for {
					c, err := upstreamListener.Accept()
					if err != nil {
						return
					}
					go serveStreams(c, chunks)
				}
			}()
			gatewayListener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: &fixedAddressDispatcher{newFakeDispatcher(), upstreamListener.Addr().String()}, Logger: zerolog.Nop()})
			go func() { _ = g.Serve(gatewayListener) }()
			defer func() { _ = g.server.Close() }()
			caller, err := net.Dial("tcp", gatewayListener.Addr().String())
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

// serveStreams responds to each request on c with the chunks of an event stream.
func serveStreams(c net.Conn, chunks [][]byte) {
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
