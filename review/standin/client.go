package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a client attempt.
type Request struct {
	Method, Path, Attempt string
	Header                map[string]string
	Body                  string
	Deadline              time.Duration // that the client gives
	BytesPerSecond        int           // at which the client reads, zero for no limit
}

// Answer is what a client got.
type Answer struct {
	Status  int // zero without a head
	Header  http.Header
	Body    []byte
	Events  []int // ids of the whole events of a stream
	Whole   bool  // the answer ended as HTTP says
	Closes  bool  // the channel ends with the answer
	Err     error
	Elapsed time.Duration
}

func (a Answer) String() string {
	s := fmt.Sprintf("status %d, %d bytes", a.Status, len(a.Body))
	if n := len(a.Events); n > 0 {
		s += fmt.Sprintf(", events %d to %d", a.Events[0], a.Events[n-1])
	}
	if !a.Whole {
		s += fmt.Sprintf(", not whole: %v", a.Err)
	}
	return s
}

// Client is a channel of a client to a gateway. It carries one request at a time.
type Client struct {
	Gap time.Duration // longest time without a byte of an answer; then the client abandons it; zero for no limit

	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ReadBuffer sets the size of the socket's buffer for what has come and was not read.
func (c *Client) ReadBuffer(bytes int) { _ = c.conn.(*net.TCPConn).SetReadBuffer(bytes) }

// Close closes the channel.
func (c *Client) Close() { _ = c.conn.Close() }

// slowReader reads at a limited rate.
type slowReader struct {
	r    io.Reader
	rate int
}

func (s slowReader) Read(p []byte) (int, error) {
	const period = 50 * time.Millisecond
	time.Sleep(period)
	return s.r.Read(p[:min(len(p), max(1, s.rate*int(period)/int(time.Second)))])
}

// impatientReader gives up when no byte comes for the gap.
type impatientReader struct {
	r     io.Reader
	conn  net.Conn
	gap   time.Duration
	until time.Time
}

func (i impatientReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(i.gap)
	if deadline.After(i.until) {
		deadline = i.until
	}
	if err := i.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return i.r.Read(p)
}

// Do sends a request and reads the answer, up to limit.
func (c *Client) Do(r Request, limit time.Duration) (a Answer) {
	start := time.Now()
	defer func() { a.Elapsed = time.Since(start) }()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, Host, Wire.AttemptID, r.Attempt, Wire.Deadline, r.Deadline.Milliseconds())
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n" + r.Body)
	if err := c.conn.SetDeadline(start.Add(limit)); err != nil {
		return Answer{Err: err}
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	a.Status, a.Header, a.Closes = resp.StatusCode, resp.Header, resp.Close
	var body io.Reader = resp.Body
	if r.BytesPerSecond > 0 {
		body = slowReader{body, r.BytesPerSecond}
	}
	if c.Gap > 0 {
		body = impatientReader{body, c.conn, c.Gap, start.Add(limit)}
	}
	a.Body, a.Err = io.ReadAll(body)
	a.Whole = a.Err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents()
	}
	return a
}

// readEvents collects the ids of the whole events of the body. A stream that ends inside an
// event is not whole.
func (a *Answer) readEvents() {
	rest := a.Body
	for {
		end := bytes.Index(rest, []byte("\n\n"))
		if end < 0 {
			break
		}
		for line := range bytes.Lines(rest[:end+1]) {
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				if id, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
					a.Events = append(a.Events, id)
				}
			}
		}
		rest = rest[end+2:]
	}
	if a.Whole && len(rest) > 0 {
		a.Whole, a.Err = false, errors.New("it ends inside an event")
	}
}
