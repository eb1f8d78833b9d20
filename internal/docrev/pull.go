package docrev

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

// ServePull serves one stream of kind KindPull: it receives a wire.Pull and sends a wire.Document.
func (rep *Replicator) ServePull(c wire.Stream) error {
	var p wire.Pull
	if err := c.Recv(&p); err != nil {
		return errors.Wrap(err, "receive pull")
	}
	sr := rep.revisionFor(p.Revision)
	digest := sha256.Sum256(sr.value)
	doc := wire.Document{Revision: sr.revision, Digest: digest[:], Body: sr.value}
	return errors.Wrap(c.Send(doc), "send document")
}

// revisionFor returns the active revision if it is at least minRevision. Otherwise it returns the latest one if that is
// new enough, or the zero value. A starting host pulls with minRevision 0 and so gets the active revision, never a
// pending one that it might not be able to apply either and that would then keep it from starting.
func (rep *Replicator) revisionFor(minRevision int64) storedRevision {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	switch {
	case minRevision <= rep.state.applied.revision:
		return rep.state.applied
	case minRevision <= rep.state.latest.revision:
		return rep.state.latest
	default:
		return storedRevision{}
	}
}

// pull fetches a record of revision minRevision or newer from the host at addr.
func (rep *Replicator) pull(ctx context.Context, addr string, minRevision int64) (storedRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := rep.Dialer.Open(ctx, addr, wire.KindPull)
	if err != nil {
		return storedRevision{}, errors.Wrap(err, "open pull")
	}
	// Recv takes no context; closing the stream unblocks it.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		if stop() {
			_ = c.Close()
		}
	}()
	if err := c.Send(wire.Pull{Revision: minRevision}); err != nil {
		return storedRevision{}, errors.Wrap(err, "send pull")
	}
	var doc wire.Document
	if err := c.Recv(&doc); err != nil {
		return storedRevision{}, errors.Wrap(err, "receive document")
	}
	if doc.Revision == 0 || doc.Revision < minRevision {
		return storedRevision{}, errors.Errorf("peer returned revision %d, want at least %d", doc.Revision, minRevision)
	}
	if digest := sha256.Sum256(doc.Body); !bytes.Equal(digest[:], doc.Digest) {
		rep.Stats.CountEvent("config_bad_digest")
		return storedRevision{}, errors.Errorf("digest of revision %d does not match its body", doc.Revision)
	}
	return storedRevision{doc.Revision, doc.Body}, nil
}
