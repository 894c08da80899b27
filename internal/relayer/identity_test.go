package relayer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// withWorkspaces adds the workspaces alpha and beta to the configuration of a dispatcher,
// with the keys key-a and key-b, and a public route.
func withWorkspaces(d *fakeDispatcher) *fakeDispatcher {
	d.cfg.Workspaces = []registrar.Workspace{
		{Name: "alpha", Keys: []registrar.KeyDigest{registrar.DigestKey("key-a")}},
		{Name: "beta", Keys: []registrar.KeyDigest{registrar.DigestKey("key-b")}},
	}
	d.cfg.Routes = append(d.cfg.Routes, registrar.Route{Host: "dues.example", Prefix: "/open/", Timeout: 5 * time.Second, Kind: registrar.Idempotent, Service: "s", Public: true})
	registrar.New(registrar.Config{}).Install(d.cfg)
	return d
}

// seenHeaders collects the headers of the requests that upstreams receive.
type seenHeaders struct {
	mu  sync.Mutex
	all []http.Header
}

// startRecordingUpstream starts an upstream that records headers and answers each request
// with the text of answer, which may depend on the request.
func startRecordingUpstream(t *testing.T, seen *seenHeaders, answer func(req *http.Request) string) string {
	return startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		seen.mu.Lock()
		seen.all = append(seen.all, req.Header)
		seen.mu.Unlock()
		_, _ = io.WriteString(c, answer(req))
	})
}

// answerOK announces that the upstream closes the connection, so that it is not used again.
func answerOK(req *http.Request) string {
	return strings.Replace(okResponse(req.Header.Get("Try"), "fine"), "\r\n", "\r\nConnection: close\r\n", 1)
}

// sendRaw sends the text of a request, with CRLF for each line end, and returns the
// response.
func sendRaw(t *testing.T, address, text string) (*http.Response, string) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func TestUpstreamsLearnTheWorkspaceAndNotTheKey(t *testing.T) {
	seen := &seenHeaders{}
	upstream := startRecordingUpstream(t, seen, answerOK)
	_, gateway := startGateway(t, withWorkspaces(newFakeDispatcher(upstream)))
	for _, c := range []struct {
		path, headers string
		status        int
		workspace     string // that the upstream sees
	}{
		{"/a/x", "Key: key-a\n", 200, "alpha"},
		{"/a/x", "kEY: key-b\nWORKSPACE: alpha\n", 200, "beta"},
		{"/a/x", "Key: key-a\nWorkspace: beta\nWorkspace: gamma\n", 200, "alpha"},
		{"/a/x", "Key: key-a\nConnection: key, workspace\nWorkspace: beta\n", 200, "alpha"},
		{"/a/x", "Workspace: alpha\n", 401, ""},
		{"/a/x", "Key: key-c\nWorkspace: alpha\n", 401, ""},
		{"/a/x", "Key: key-a\nKey: key-a\n", 401, ""},
		{"/a/x", "Key: key-a\nKey: key-b\n", 401, ""},
		{"/a/x", "Key: " + strings.Repeat("k", 8<<10) + "\n", 401, ""},
		{"/open/x", "", 200, ""},
		{"/open/x", "Key: key-c\nWorkspace: alpha\n", 200, ""},
		{"/open/x", "Key: key-b\nWorkspace: alpha\n", 200, "beta"},
		{"/none/x", "Key: key-a\n", 404, ""},
	} {
		seen.all = nil
		resp, _ := sendRaw(t, gateway, "GET "+c.path+" HTTP/1.1\nHost: dues.example\nTry: n1\n"+c.headers+"\n")
		require.Equal(t, c.status, resp.StatusCode, c.headers)
		if c.status != 200 {
			require.Empty(t, seen.all)
			continue
		}
		require.Len(t, seen.all, 1)
		require.Equal(t, c.workspace, seen.all[0].Get("Workspace"), c.headers)
		require.LessOrEqual(t, len(seen.all[0]["Workspace"]), 1)
		require.NotContains(t, fmt.Sprint(seen.all[0]), "key-", c.headers)
	}
}

func TestHeadersPassWithoutWorkspaces(t *testing.T) {
	seen := &seenHeaders{}
	_, gateway := startGateway(t, newFakeDispatcher(startRecordingUpstream(t, seen, answerOK)))
	resp, _ := sendRaw(t, gateway, "GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-c\nWorkspace: alpha\n\n")
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "key-c", seen.all[0].Get("Key"))
	require.Equal(t, "alpha", seen.all[0].Get("Workspace"))
}

// The body of a request without a known key may never come.
func TestUnknownKeyIsDeniedBeforeTheBody(t *testing.T) {
	g, gateway := startGateway(t, withWorkspaces(newFakeDispatcher()))
	for framing, closes := range map[string]bool{
		"Content-Length: 100000\n": false, "Transfer-Encoding: chunked\n": false, "Content-Length: 100000\nExpect: 100-continue\n": true, "Content-Length: 1000000\n": true,
	} {
		resp, body := sendRaw(t, gateway, "POST /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-c\n"+framing+"\n")
		require.Equal(t, 401, resp.StatusCode, framing)
		require.Equal(t, closes, resp.Close, framing)
		require.Equal(t, "Bearer", resp.Header.Get("WWW-Authenticate"))
		require.Equal(t, "n1", resp.Header.Get("Try"))
		require.True(t, strings.HasPrefix(body, "denied: "), body)
	}
	require.EqualValues(t, 4, g.Denied())
}

// A caller that sends its body in any case must be able to use its connection again.
func TestConnectionServesAgainAfterADeniedBody(t *testing.T) {
	seen := &seenHeaders{}
	_, gateway := startGateway(t, withWorkspaces(newFakeDispatcher(startRecordingUpstream(t, seen, answerOK))))
	c, err := net.Dial("tcp", gateway)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, key := range []string{"key-c", "key-a"} {
		_, err = fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nKey: %s\r\nContent-Length: 5000\r\n\r\n%s", key, strings.Repeat("b", 5000))
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, map[string]int{"key-c": 401, "key-a": 200}[key], resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
}

func TestKeysAreNotJudgedWithoutAConfiguration(t *testing.T) {
	d := newFakeDispatcher()
	d.cfg = nil
	_, gateway := startGateway(t, d)
	resp, _ := sendRaw(t, gateway, "GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-c\n\n")
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestUnknownKeyIsNotDeniedByAStaleProcess(t *testing.T) {
	d := withWorkspaces(newFakeDispatcher())
	d.unconfirmed = true
	_, gateway := startGateway(t, d)
	resp, body := sendRaw(t, gateway, "POST /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-c\nContent-Length: 9\n\n")
	require.Equal(t, 503, resp.StatusCode)
	require.True(t, strings.HasPrefix(body, "stale: "), body)
}

// Each send of a request must name its workspace: the first, a retry, and the one that
// resumes a stream.
func TestEachSendNamesTheWorkspace(t *testing.T) {
	seen := &seenHeaders{}
	const head = "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	full := startRecordingUpstream(t, seen, func(*http.Request) string {
		return "HTTP/1.1 503 Full\r\nTry: n1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	})
	broken := startRecordingUpstream(t, seen, func(*http.Request) string { return head + "id: 1\ndata: a\n\nid: 2" })
	last := startRecordingUpstream(t, seen, func(*http.Request) string { return head + "id: 2\ndata: b\n\n" })
	d := withWorkspaces(newFakeDispatcher(full, broken, last))
	_, gateway := startGateway(t, d)
	_, body := sendRaw(t, gateway, "GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-a\nWorkspace: beta\n\n")
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	require.Equal(t, []dispatcher.Outcome{dispatcher.NotRun, dispatcher.Interrupted, dispatcher.Completed}, d.outcomes())
	require.Len(t, seen.all, 3)
	for _, h := range seen.all {
		require.Equal(t, []string{"alpha"}, h["Workspace"])
		require.Empty(t, h["Key"])
	}
	require.Equal(t, "1", seen.all[2].Get("After"))
}

// A key must not reach an upstream because the first configuration with workspaces comes
// while the request waits, or the last one goes.
func TestKeyIsNotPassedOnWhenWorkspacesComeOrGo(t *testing.T) {
	for _, present := range []bool{false, true} {
		seen := &seenHeaders{}
		address := startRecordingUpstream(t, seen, answerOK)
		with, without := withWorkspaces(newFakeDispatcher(address)), newFakeDispatcher(address)
		first, second := without, with
		if present {
			first, second = with, without
		}
		d := &switchingDispatcher{fakeDispatcher: first, later: second.cfg}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: d, Logger: zerolog.Nop()})
		go func() { _ = g.Serve(l) }()
		t.Cleanup(func() { _ = g.server.Close() })
		resp, _ := sendRaw(t, l.Addr().String(), "GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-a\nWorkspace: beta\n\n")
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "alpha", seen.all[0].Get("Workspace"))
		require.Empty(t, seen.all[0]["Key"])
	}
}

// switchingDispatcher puts another configuration in force when a request is submitted.
type switchingDispatcher struct {
	*fakeDispatcher
	later *registrar.Configuration
}

func (d *switchingDispatcher) Submit(r dispatcher.Request, mailbox *Mailbox) dispatcher.RequestID {
	d.mu.Lock()
	d.cfg = d.later
	d.mu.Unlock()
	return d.fakeDispatcher.Submit(r, mailbox)
}

func (d *switchingDispatcher) Configuration() *registrar.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}

// submittingDispatcher keeps the requests that are submitted.
type submittingDispatcher struct {
	*fakeDispatcher
	submitted []dispatcher.Request
}

func (d *submittingDispatcher) Submit(r dispatcher.Request, mailbox *Mailbox) dispatcher.RequestID {
	d.submitted = append(d.submitted, r)
	return d.fakeDispatcher.Submit(r, mailbox)
}

// Logs and traits go to operators, other processes and the store. Traits of requests that
// differ only in their keys must be the same, so that they tell nothing of them.
func TestKeysReachNeitherLogsNorTraits(t *testing.T) {
	var log bytes.Buffer
	logger := zerolog.New(zerolog.SyncWriter(&log)).Level(zerolog.DebugLevel)
	d := &submittingDispatcher{fakeDispatcher: withWorkspaces(newFakeDispatcher(startRecordingUpstream(t, &seenHeaders{}, answerOK)))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: d, Logger: logger})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = g.server.Close() })
	for _, text := range []string{
		"GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-a\n\n",
		"GET /a/x HTTP/1.1\nHost: dues.example\nTry: n2\nKey: key-b\n\n",
		"GET /a/x HTTP/1.1\nHost: dues.example\nTry: n3\nKey: key-c\n\n",
		"GET /none/x HTTP/1.1\nHost: dues.example\nTry: n4\nKey: key-a\n\n",
		"GET /a/x HTTP/1.1\nHost: dues.example\nKey: key-a\n\n",
		"GET /a/x HTTP/1.1\nHost: dues.example\nKey: key-a\nKey key-b\n\n",
	} {
		sendRaw(t, l.Addr().String(), text)
	}
	require.Contains(t, log.String(), `"kind":"denied"`)
	require.Contains(t, log.String(), `"cause":"unknown key"`)
	require.NotContains(t, log.String(), "key-")
	require.Len(t, d.submitted, 2)
	require.Equal(t, d.submitted[0].Traits, d.submitted[1].Traits)
}

func TestDenialsAreLoggedAtALimitedRate(t *testing.T) {
	var l denialLimit
	start := time.Unix(1, 0)
	written := 0
	for i := range 1000 {
		if _, ok := l.admit(start.Add(time.Duration(i) * time.Millisecond)); ok {
			written++
		}
	}
	require.Equal(t, maxDenialLines, written)
	omitted, ok := l.admit(start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 1000-maxDenialLines, omitted)
}

// leakyCodec is a testHeaderCodec that leaves one header in place.
type leakyCodec struct {
	testHeaderCodec
	left string
}

func (c leakyCodec) Identifies(name string) bool {
	return name != c.left && c.testHeaderCodec.Identifies(name)
}

// SetForwardHeaders keeps a workspace that the caller has named if that header is left.
func (c leakyCodec) SetForwardHeaders(h http.Header, info ForwardInfo) {
	if c.left == "Workspace" && h.Get("Workspace") != "" {
		info.Workspace = ""
	}
	c.testHeaderCodec.SetForwardHeaders(h, info)
}

// identityViolations lists what the upstream of a gateway with the given codec sees of a key
// and of a workspace that the caller named.
func identityViolations(t *testing.T, codec HeaderCodec) []string {
	seen := &seenHeaders{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := New(Config{HeaderCodec: codec, Dispatcher: withWorkspaces(newFakeDispatcher(startRecordingUpstream(t, seen, answerOK))), Logger: zerolog.Nop()})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = g.server.Close() })
	sendRaw(t, l.Addr().String(), "GET /a/x HTTP/1.1\nHost: dues.example\nTry: n1\nKey: key-a\nWorkspace: beta\n\n")
	require.Len(t, seen.all, 1)
	var violations []string
	if strings.Contains(fmt.Sprint(seen.all[0]), "key-") {
		violations = append(violations, "key passed on")
	}
	if !slices.Equal(seen.all[0]["Workspace"], []string{"alpha"}) {
		violations = append(violations, "workspace of the caller kept")
	}
	return violations
}

func TestMutantsOfIdentityAreCaught(t *testing.T) {
	require.Empty(t, identityViolations(t, testHeaderCodec{}))
	require.Equal(t, []string{"key passed on"}, identityViolations(t, leakyCodec{left: "Key"}))
	require.Equal(t, []string{"workspace of the caller kept"}, identityViolations(t, leakyCodec{left: "Workspace"}))
}
