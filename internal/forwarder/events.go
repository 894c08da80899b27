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

// Errors that end a stream of server-sent events.
var (
	errSilence     = errors.New("engine sent nothing until the silence timeout")
	errTruncated   = errors.New("event stream ended before [DONE]")
	errLineTooLong = errors.New("line of the event stream is too long")
)

// event is one server-sent event.
type event struct {
	raw  []byte // its lines, without comments, and the blank line that ends it
	data []byte // values of the data lines, concatenated
}

// completionChunk holds the generated text of an event: Text in a completion, Delta in
// a chat completion.
type completionChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// doneMarker is the data of the last event of a stream.
var doneMarker = []byte("[DONE]")

// relayEvents posts the server-sent events of a response one by one, up to [DONE].
// Comments are heartbeats of the engine and are not forwarded.
func (a *attempt) relayEvents(ctx context.Context, body io.ReadCloser) error {
	timer := time.AfterFunc(streamSilenceTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	reader := bufio.NewReaderSize(body, 4096)
	for {
		e, err := readEvent(reader, func() { timer.Reset(streamSilenceTimeout) })
		if err != nil {
			if !timer.Stop() {
				return errSilence
			}
			return err
		}
		timer.Stop() // the engine is not silent while the flow control window is closed
		text, tokens := generatedText(e.data)
		if err := a.deliver(ctx, reducer.ResponseChunk{Attempt: a.forward.Attempt, Data: e.raw, Text: text, Tokens: tokens}); err != nil {
			return err
		}
		if bytes.Equal(e.data, doneMarker) {
			return nil
		}
		timer.Reset(streamSilenceTimeout)
	}
}

// readEvent returns the next event that has data. It calls onLine after each line.
func readEvent(r *bufio.Reader, onLine func()) (event, error) {
	var e event
	for {
		line, err := readLine(r)
		if err != nil {
			return e, err
		}
		onLine()
		if len(line) == 0 {
			if e.data != nil {
				e.raw = append(e.raw, '\n')
				return e, nil
			}
			e = event{}
			continue
		}
		if line[0] == ':' {
			continue
		}
		e.raw = append(append(e.raw, line...), '\n')
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			e.data = append(e.data, bytes.TrimPrefix(data, []byte(" "))...)
		}
	}
}

// readLine returns the next line without its line ending.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errLineTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, errTruncated
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// generatedText returns the generated text of an event and its number of tokens. An
// event with text counts as one token.
func generatedText(data []byte) (string, int) {
	var chunk completionChunk
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return "", 0
	}
	text := chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
	if text == "" {
		return "", 0
	}
	return text, 1
}
