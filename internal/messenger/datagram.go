package messenger

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// format is the encoding of a message.
type format string

// The formats of messages.
const (
	formatUnknown format = ""     // no message has come from the peer
	formatJSON    format = "json" // of earlier builds
	formatCBOR    format = "cbor"
)

// encoder encodes numbers in as few bytes as represent them exactly.
var encoder = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Datagram is an encoded message. It is not safe for concurrent use.
type Datagram struct {
	message  Message
	compact  []byte // CBOR
	jsonData []byte // of peers of earlier builds, nil until it is needed
}

// Encode encodes a message for Send, in several datagrams if it has long lists. It fails if
// the rest exceeds a datagram.
func Encode(m Message) ([]*Datagram, error) {
	d, err := encodeOne(m)
	if d == nil || len(d.compact) <= splitBytes {
		return []*Datagram{d}, err
	}
	first, second, ok := m.split()
	if !ok {
		return []*Datagram{d}, err
	}
	datagrams, err := Encode(first)
	if err != nil {
		return nil, err
	}
	more, err := Encode(second)
	return append(datagrams, more...), err
}

// encodeOne encodes a message as one datagram, which it returns with the error if it is too
// large.
func encodeOne(m Message) (*Datagram, error) {
	data, err := encoder.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(data) > maxDatagramBytes {
		err = fmt.Errorf("message of %d bytes exceeds a datagram", len(data))
	}
	return &Datagram{message: m, compact: data}, err
}

// json returns the message as JSON.
func (d *Datagram) json() ([]byte, error) {
	if d.jsonData != nil {
		return d.jsonData, nil
	}
	data, err := json.Marshal(d.message)
	if err == nil && len(data) > maxDatagramBytes {
		err = fmt.Errorf("message of %d bytes exceeds a datagram", len(data))
	}
	if err == nil {
		d.jsonData = data
	}
	return data, err
}

// decode decodes a datagram of either format. JSON objects begin with a brace, which
// begins no CBOR map.
func decode(data []byte) (Message, format, error) {
	var m Message
	if len(data) > 0 && data[0] == '{' {
		err := json.Unmarshal(data, &m)
		return m, formatJSON, err
	}
	err := cbor.Unmarshal(data, &m)
	return m, formatCBOR, err
}
