package link

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxName is the longest name, in bytes, in messages whose names are kept while their link is open.
const MaxName = 1 << 10

type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Decode decodes one frame.
func Decode(data []byte) (Message, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, &FrameError{Reason: "malformed frame", Err: err}
	}
	msg := newMessage(f.Kind)
	if msg == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown kind %d", f.Kind)}
	}
	if err := cbor.Unmarshal(f.Body, msg); err != nil {
		return nil, &FrameError{Reason: fmt.Sprintf("malformed body of kind %d", f.Kind), Err: err}
	}
	if named, ok := msg.(interface{ names() []string }); ok {
		for _, name := range named.names() {
			if len(name) > MaxName {
				return nil, &FrameError{Reason: fmt.Sprintf("name of %d bytes in a message of kind %d", len(name), f.Kind)}
			}
		}
	}
	return msg, nil
}

// Encoded is an encoded message, which can be sent on any number of links.
type Encoded []byte

// Prepare encodes a message to be sent on several links.
func Prepare(msg Message) (Encoded, error) {
	data, err := Encode(msg)
	return Encoded(data), err
}

// Encode encodes one frame.
func Encode(msg Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, &FrameError{Reason: "encoding failed", Err: err}
	}
	return cbor.Marshal(frame{Kind: msg.Kind(), Body: body})
}
