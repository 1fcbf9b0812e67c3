package link

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Decode reads one frame.
func Decode(data []byte) (Message, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, &FrameError{Reason: "not readable", Err: err}
	}
	msg := newMessage(f.Kind)
	if msg == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("kind %d is not known", f.Kind)}
	}
	if err := cbor.Unmarshal(f.Body, msg); err != nil {
		return nil, &FrameError{Reason: fmt.Sprintf("body of kind %d", f.Kind), Err: err}
	}
	return msg, nil
}

// Encode writes one frame.
func Encode(msg Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, &FrameError{Reason: "not encodable", Err: err}
	}
	return cbor.Marshal(frame{Kind: msg.Kind(), Body: body})
}
