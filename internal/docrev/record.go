package docrev

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const (
	// maxRecordBytes is below the size of one value of the key-value service, because a record must also fit, with its
	// digest, into one frame between hosts.
	maxRecordBytes = kvapi.MaxValueBytes - 1024
	// MaxDocumentBytes is the largest size of a document in YAML, before compression.
	MaxDocumentBytes = 2 << 20
)

type (
	// Record is the content of one revision and its author; Body is the document in YAML.
	Record struct {
		ChangeID string    `json:"change_id"`
		Author   string    `json:"author"`
		Time     time.Time `json:"time"`
		Body     []byte    `json:"-"`
	}

	// storedRecord is the stored and sent form of a Record. The document is compressed to about a tenth of its size,
	// because every host receives every revision.
	storedRecord struct {
		ChangeID string    `cbor:"1,keyasint"`
		Author   string    `cbor:"2,keyasint"`
		Time     time.Time `cbor:"3,keyasint"`
		Flate    []byte    `cbor:"4,keyasint"`
	}
)

func (r Record) encode() ([]byte, error) {
	if len(r.Body) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(r.Body), MaxDocumentBytes)
	}
	compressed, err := compress(r.Body)
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(storedRecord{ChangeID: r.ChangeID, Author: r.Author, Time: r.Time, Flate: compressed})
	if err != nil {
		return nil, errors.Wrap(err, "encode revision")
	}
	if len(b) > maxRecordBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes compressed, at most %d", len(b), maxRecordBytes)
	}
	return b, nil
}

func decodeRecord(value []byte) (Record, error) {
	var s storedRecord
	if err := cbor.Unmarshal(value, &s); err != nil {
		return Record{}, errors.Wrap(err, "decode revision")
	}
	body, err := decompress(s.Flate)
	if err != nil {
		return Record{}, err
	}
	return Record{ChangeID: s.ChangeID, Author: s.Author, Time: s.Time, Body: body}, nil
}

func compress(body []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err = w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err = w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return buf.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	body, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(body) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", MaxDocumentBytes)
	}
	return body, nil
}

func (r Record) document(name, environment string) (*envdoc.Doc, error) {
	doc, err := envdoc.Parse(name, r.Body)
	if err != nil {
		return nil, err
	}
	if doc.Environment != environment {
		list := &find.List{File: name}
		list.Add(0, "environment", "document is for environment %q, not %q", doc.Environment, environment)
		return nil, list
	}
	return doc, nil
}
