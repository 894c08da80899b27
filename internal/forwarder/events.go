package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/egretwall/egretwall/internal/reducer"
)

// Errors of a stream of server-sent events.
var (
	errSilent = errors.New("the engine went silent")
	errCut    = errors.New("the stream ended before its last event")
	errLine   = errors.New("a line of the stream is too long")
)

// event is one server-sent event.
type event struct {
	raw  []byte // the event with its blank line
	data []byte
}

// delta is the part of an engine's event that carries text.
type delta struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

var lastEvent = []byte("[DONE]")

// events delivers a stream of server-sent events one by one. Comments are
// heartbeats of the engine and go no further.
func (c *call) events(ctx context.Context, body io.ReadCloser) error {
	watch := time.AfterFunc(streamSilent, func() { _ = body.Close() })
	defer watch.Stop()
	reader := bufio.NewReaderSize(body, 4096)
	for {
		ev, err := readEvent(reader, func() { watch.Reset(streamSilent) })
		if err != nil {
			if !watch.Stop() {
				return errSilent
			}
			return err
		}
		watch.Stop() // waiting for credit is not the engine's silence
		text, tokens := textOf(ev.data)
		if err := c.deliver(ctx, reducer.ResponseChunk{Attempt: c.pass.Attempt, Data: ev.raw, Text: text, Tokens: tokens}); err != nil {
			return err
		}
		if bytes.Equal(ev.data, lastEvent) {
			return nil
		}
		watch.Reset(streamSilent)
	}
}

// readEvent reads up to the next event that carries data.
func readEvent(r *bufio.Reader, alive func()) (event, error) {
	var ev event
	for {
		line, err := readLine(r)
		if err != nil {
			return ev, err
		}
		alive()
		if len(line) == 0 {
			if ev.data != nil {
				ev.raw = append(ev.raw, '\n')
				return ev, nil
			}
			ev = event{}
			continue
		}
		if line[0] == ':' {
			continue
		}
		ev.raw = append(append(ev.raw, line...), '\n')
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			ev.data = append(ev.data, bytes.TrimPrefix(data, []byte(" "))...)
		}
	}
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return nil, errLine
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, errCut
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

func textOf(data []byte) (string, int) {
	var d delta
	if json.Unmarshal(data, &d) != nil || len(d.Choices) == 0 {
		return "", 0
	}
	text := d.Choices[0].Text + d.Choices[0].Delta.Content
	if text == "" {
		return "", 0
	}
	return text, 1
}
