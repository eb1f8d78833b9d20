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
	// Hosts that share a key-value service and an in-memory network.
	fleet struct {
		t     *testing.T
		kv    *kvfake.Store
		mu    sync.Mutex
		hosts []*host
		cut   map[string]bool // from the other hosts
	}

	host struct {
		*Replicator
		fleet   *fleet
		applied []int64
		refuse  int64 // revision that Apply refuses
		corrupt bool  // sends documents that do not match their digest
		stop    context.CancelFunc
	}

	pipe struct {
		in, out chan []byte
		closed  chan struct{}
		once    *sync.Once
		corrupt bool
	}
)

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, kv: kvfake.New(), cut: make(map[string]bool)}
}

// Adds a host; run starts it.
func (f *fleet) add(domain string, seeds ...*host) *host {
	name := fmt.Sprintf("host-%d", len(f.hosts))
	h := &host{fleet: f}
	h.Replicator = &Replicator{
		Environment: "trial", Self: wire.Member{Name: name, Addr: name, Domain: domain}, KV: f.kv.Client(name),
		Dialer: h, Members: f.members, Notify: h.ping, Apply: h.apply, Stats: &stats.Set{},
	}
	for _, s := range seeds {
		h.Seeds = append(h.Seeds, s.Self.Addr)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	return h
}

// Starts the host with a ping of one random member a second.
func (h *host) run() {
	ctx, cancel := context.WithCancel(h.fleet.t.Context())
	h.stop = cancel
	h.fleet.t.Cleanup(cancel)
	go func() { _ = h.Run(ctx) }()
	go func() {
		for clock.Sleep(ctx, time.Second) {
			members := h.fleet.members()
			h.ping(ctx, members[rand.IntN(len(members))])
		}
	}()
}

func (h *host) apply(_ *envdoc.Doc, revision int64) error {
	if revision == h.refuse {
		return errTest
	}
	h.applied = append(h.applied, revision)
	return nil
}

func (h *host) ping(ctx context.Context, to wire.Member) {
	peer := h.fleet.reach(h, to.Addr)
	if peer == nil || peer == h || !clock.Sleep(ctx, time.Millisecond) {
		return
	}
	peer.ObserveRevision(h.Latest(), h.Self)
	h.ObserveRevision(peer.Latest(), peer.Self)
}

func (h *host) Open(ctx context.Context, addr string, _ wire.Kind) (wire.Stream, error) {
	peer := h.fleet.reach(h, addr)
	if peer == nil || !clock.Sleep(ctx, time.Millisecond) {
		return nil, errTest
	}
	a, b, closed, once := make(chan []byte, 1), make(chan []byte, 1), make(chan struct{}), new(sync.Once)
	go func() { _ = peer.ServePull(&pipe{a, b, closed, once, peer.corrupt}) }()
	return &pipe{b, a, closed, once, false}, nil
}

func (f *fleet) members() []wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]wire.Member, 0, len(f.hosts))
	for _, h := range f.hosts {
		members = append(members, h.Self)
	}
	return members
}

func (f *fleet) reach(from *host, addr string) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.hosts, func(h *host) bool { return h.Self.Addr == addr })
	if i < 0 || f.cut[from.Self.Name] || f.cut[f.hosts[i].Self.Name] {
		return nil
	}
	return f.hosts[i]
}

func (f *fleet) setCut(h *host, kv, peers bool) {
	f.kv.SetPartitioned(h.Self.Name, kv)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[h.Self.Name] = peers
}

// Proposes the next revision through the host.
func (h *host) change(id string, base int64) error {
	_, err := h.Propose(h.fleet.t.Context(), Change{ID: id, Base: base, Body: body(id)})
	return err
}

func (f *fleet) mustChange(h *host, bases ...int64) {
	f.t.Helper()
	for _, base := range bases {
		if err := h.change(fmt.Sprintf("c%d", base+1), base); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) expect(revision int64, hosts ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		if doc, got := h.Current(); got != revision || (got > 0 && doc == nil) {
			f.t.Errorf("%s is at revision %d, want %d", h.Self.Name, got, revision)
		}
		if !slices.IsSorted(h.applied) {
			f.t.Errorf("%s moved back: %v", h.Self.Name, h.applied)
		}
	}
}

// A valid document that differs by id.
func body(id string) []byte {
	return fmt.Appendf(nil, "environment: trial\nclasses: [{name: %s, total_ms: 1}]\n", id)
}

func (p *pipe) Send(v any) error {
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

func (p *pipe) Recv(v any) error {
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	case <-p.closed:
		return io.EOF
	}
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}
