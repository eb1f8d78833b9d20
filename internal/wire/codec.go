package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MaxFrameBytes is the largest size of an encoded message.
	MaxFrameBytes = 1 << 20

	// The decoder's limits keep a malicious frame from causing allocations far larger than the frame. Valid messages
	// nest at most four levels deep.
	maxNestedLevels  = 8
	maxArrayElements = 1 << 14
	maxMapPairs      = 1 << 10
)

// ErrFrameTooLarge means that a message exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("message exceeds the frame limit")

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Marshal encodes v as one CBOR value or returns ErrFrameTooLarge.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(b) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	return b, nil
}

// Unmarshal decodes exactly one CBOR value into v or returns an error. It ignores unknown fields, so that hosts of
// different versions can communicate.
func Unmarshal(b []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(b, v), "decode message")
}

// mustEncMode returns an encoder that writes times in microseconds; the library's default of whole seconds would shift
// deadlines by up to a second.
func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode returns a decoder that rejects duplicate map keys, values of indefinite length and tags.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
