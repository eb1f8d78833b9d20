package link

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
)

const (
	// minPackedBytes is the size of values from which on a state is compressed: entries of upstreams repeat the names
	// of models and fields many times.
	minPackedBytes = 16 << 10
	// maxUnpackedBytes bounds what a packed state may take.
	maxUnpackedBytes = 64 << 20
)

// content is what a packed state holds.
type content struct {
	Items  []store.Item  `cbor:"1,keyasint,omitempty"`
	Events []store.Event `cbor:"2,keyasint,omitempty"`
}

// HasChanges reports whether the state holds more than a newer revision.
func (s *PrefixState) HasChanges() bool { return !s.Delta || len(s.Events) > 0 || len(s.Packed) > 0 }

// Pack compresses the items and events if they are large.
func (s *PrefixState) Pack() error {
	size := 0
	for i := range s.Items {
		size += len(s.Items[i].Value)
	}
	for i := range s.Events {
		size += len(s.Events[i].Value)
	}
	if size < minPackedBytes {
		return nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "compress state")
	}
	if err := cbor.NewEncoder(w).Encode(content{Items: s.Items, Events: s.Events}); err != nil {
		return errors.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "compress state")
	}
	s.Items, s.Events, s.Packed = nil, nil, b.Bytes()
	return nil
}

// Unpack reverts Pack.
func (s *PrefixState) Unpack() error {
	if len(s.Packed) == 0 {
		return nil
	}
	var c content
	r := io.LimitReader(flate.NewReader(bytes.NewReader(s.Packed)), maxUnpackedBytes)
	if err := cbor.NewDecoder(r).Decode(&c); err != nil {
		return errors.Wrap(err, "decompress state")
	}
	s.Items, s.Events, s.Packed = c.Items, c.Events, nil
	return nil
}
