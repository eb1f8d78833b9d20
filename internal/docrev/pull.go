package docrev

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

// ServePull answers one KindPull exchange.
func (s *Replicator) ServePull(c wire.Stream) error {
	var p wire.Pull
	if err := c.Recv(&p); err != nil {
		return errors.Wrap(err, "receive pull")
	}
	h := s.answer(p.Revision)
	digest := sha256.Sum256(h.value)
	doc := wire.Document{Revision: h.revision, Digest: digest[:], Body: h.value}
	return errors.Wrap(c.Send(doc), "send document")
}

// A host that starts asks for revision 0 and gets what is in force here, so a pending revision cannot keep it out.
func (s *Replicator) answer(wanted int64) held {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case wanted <= s.state.applied.revision:
		return s.state.applied
	case wanted <= s.state.latest.revision:
		return s.state.latest
	default:
		return held{}
	}
}

// Gets a record of at least the wanted revision from the host at addr.
func (s *Replicator) pull(ctx context.Context, addr string, wanted int64) (held, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.Dialer.Open(ctx, addr, wire.KindPull)
	if err != nil {
		return held{}, errors.Wrap(err, "open pull")
	}
	// Recv has no context: closing the exchange ends it.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		if stop() {
			_ = c.Close()
		}
	}()
	if err := c.Send(wire.Pull{Revision: wanted}); err != nil {
		return held{}, errors.Wrap(err, "send pull")
	}
	var doc wire.Document
	if err := c.Recv(&doc); err != nil {
		return held{}, errors.Wrap(err, "receive document")
	}
	if doc.Revision == 0 || doc.Revision < wanted {
		return held{}, errors.Errorf("peer answers with revision %d instead of %d", doc.Revision, wanted)
	}
	if digest := sha256.Sum256(doc.Body); !bytes.Equal(digest[:], doc.Digest) {
		s.Stats.CountEvent("config_bad_digest")
		return held{}, errors.Errorf("digest of revision %d does not match", doc.Revision)
	}
	return held{doc.Revision, doc.Body}, nil
}
