package docrev

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

var errTest = errors.New("injected")

type (
	// cluster is a set of hosts that share a key-value service and an in-memory network.
	cluster struct {
		t           *testing.T
		kv          *kvfake.Store
		mu          sync.Mutex
		hosts       []*host
		partitioned map[string]bool // names of hosts without a connection to other hosts
	}

	host struct {
		*Replicator
		cluster  *cluster
		applied  []int64
		rejected int64 // revision that Apply rejects
		corrupt  bool  // sends documents whose body does not match the digest
		stop     context.CancelFunc
	}

	// fakeStream is one end of an in-memory stream.
	fakeStream struct {
		in, out chan []byte
		closed  chan struct{}
		once    *sync.Once
		corrupt bool
	}
)

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, kv: kvfake.New(), partitioned: make(map[string]bool)}
}

// add adds a host without starting it.
func (c *cluster) add(domain string, seeds ...*host) *host {
	name := fmt.Sprintf("host-%d", len(c.hosts))
	h := &host{cluster: c}
	h.Replicator = &Replicator{
		Environment: "trial", Self: wire.Member{Name: name, Addr: name, Domain: domain}, KV: c.kv.Client(name),
		Dialer: h, Members: c.members, Notify: h.ping, Apply: h.apply, Stats: &stats.Set{},
	}
	for _, s := range seeds {
		h.Seeds = append(h.Seeds, s.Self.Addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return h
}

// run starts the host, which pings one random member per second.
func (h *host) run() {
	ctx, cancel := context.WithCancel(h.cluster.t.Context())
	h.stop = cancel
	h.cluster.t.Cleanup(cancel)
	go func() { _ = h.Run(ctx) }()
	go func() {
		for clock.Sleep(ctx, time.Second) {
			members := h.cluster.members()
			h.ping(ctx, members[rand.IntN(len(members))])
		}
	}()
}

func (h *host) apply(_ *envdoc.Doc, revision int64) error {
	if revision == h.rejected {
		return errTest
	}
	h.applied = append(h.applied, revision)
	return nil
}

func (h *host) ping(ctx context.Context, to wire.Member) {
	peer := h.cluster.findReachable(h, to.Addr)
	if peer == nil || peer == h || !clock.Sleep(ctx, time.Millisecond) {
		return
	}
	peer.ObserveRevision(h.Latest(), h.Self)
	h.ObserveRevision(peer.Latest(), peer.Self)
}

func (h *host) Open(ctx context.Context, addr string, _ wire.Kind) (wire.Stream, error) {
	peer := h.cluster.findReachable(h, addr)
	if peer == nil || !clock.Sleep(ctx, time.Millisecond) {
		return nil, errTest
	}
	a, b, closed, once := make(chan []byte, 1), make(chan []byte, 1), make(chan struct{}), new(sync.Once)
	go func() { _ = peer.ServePull(&fakeStream{a, b, closed, once, peer.corrupt}) }()
	return &fakeStream{b, a, closed, once, false}, nil
}

func (c *cluster) members() []wire.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]wire.Member, 0, len(c.hosts))
	for _, h := range c.hosts {
		members = append(members, h.Self)
	}
	return members
}

// findReachable returns the host at addr, or nil if it or from is partitioned.
func (c *cluster) findReachable(from *host, addr string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.hosts, func(h *host) bool { return h.Self.Addr == addr })
	if i < 0 || c.partitioned[from.Self.Name] || c.partitioned[c.hosts[i].Self.Name] {
		return nil
	}
	return c.hosts[i]
}

// setPartition separates the host from the key-value service, from its peers, from both or from neither.
func (c *cluster) setPartition(h *host, kv, peers bool) {
	c.kv.SetPartitioned(h.Self.Name, kv)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[h.Self.Name] = peers
}

// propose proposes a change of revision base through the host.
func (h *host) propose(id string, base int64) error {
	_, err := h.Propose(h.cluster.t.Context(), Change{ID: id, Base: base, Body: body(id)})
	return err
}

func (c *cluster) mustPropose(h *host, bases ...int64) {
	c.t.Helper()
	for _, base := range bases {
		if err := h.propose(fmt.Sprintf("c%d", base+1), base); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) expectRevision(revision int64, hosts ...*host) {
	c.t.Helper()
	for _, h := range hosts {
		if doc, got := h.Current(); got != revision || (got > 0 && doc == nil) {
			c.t.Errorf("%s is at revision %d, want %d", h.Self.Name, got, revision)
		}
		if !slices.IsSorted(h.applied) {
			c.t.Errorf("%s went back to an older revision: %v", h.Self.Name, h.applied)
		}
	}
}

// body returns a valid document that contains id, so that two of them differ.
func body(id string) []byte {
	return fmt.Appendf(nil, "environment: trial\nclasses: [{name: %s, total_ms: 1}]\n", id)
}

func (p *fakeStream) Send(v any) error {
	if doc, ok := v.(wire.Document); ok && p.corrupt {
		doc.Body = append([]byte("x"), doc.Body...)
		v = doc
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	select {
	case p.out <- b:
		return nil
	case <-p.closed:
		return io.ErrClosedPipe
	}
}

func (p *fakeStream) Recv(v any) error {
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	case <-p.closed:
		return io.EOF
	}
}

func (p *fakeStream) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}
