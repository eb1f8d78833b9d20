package lease

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/kvapi"
)

const fakeDelay = 2 * time.Millisecond

type (
	// fakeKV is the shared service; each host talks to it through its own fakeClient.
	fakeKV struct {
		mu       sync.Mutex
		revision int64
		granted  int
		entries  map[string]kvapi.Entry
		leases   map[string]fakeLease
		calls    int
	}

	fakeLease struct {
		ttl   time.Duration
		until time.Time
	}

	// fakeClient adds the faults of one host's way to the service.
	fakeClient struct {
		kv *fakeKV
		mu sync.Mutex
		// down makes calls end without effect, lost without an answer; stuck holds answers back, whatever the context
		// says, like a paused process; late holds back writes.
		down, lost bool
		stuck      chan struct{}
		late       time.Duration
	}
)

func newFakeKV() *fakeKV {
	return &fakeKV{entries: make(map[string]kvapi.Entry), leases: make(map[string]fakeLease)}
}

func (c *fakeClient) set(f func(*fakeClient)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// do runs one call against the service with the faults that are set.
func (c *fakeClient) do(ctx context.Context, write bool, f func(kv *fakeKV) error) error {
	c.mu.Lock()
	down, late := c.down, c.late
	c.mu.Unlock()
	c.kv.mu.Lock()
	c.kv.calls++
	c.kv.mu.Unlock()
	if write && late > 0 {
		time.AfterFunc(late, func() { _ = c.kv.apply(f) })
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	if down {
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	time.Sleep(fakeDelay)
	err := c.kv.apply(f)
	c.mu.Lock()
	stuck, lost := c.stuck, c.lost && write
	c.mu.Unlock()
	if stuck != nil {
		<-stuck
	}
	if lost {
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	return err
}

func (kv *fakeKV) apply(f func(kv *fakeKV) error) error {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for id, l := range kv.leases {
		if time.Now().Before(l.until) {
			continue
		}
		kv.end(id)
	}
	return f(kv)
}

func (kv *fakeKV) end(id string) {
	delete(kv.leases, id)
	for key, e := range kv.entries {
		if e.LeaseID == id {
			delete(kv.entries, key)
		}
	}
}

func (kv *fakeKV) counted() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.calls
}

func (c *fakeClient) Get(ctx context.Context, key string) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := c.do(ctx, false, func(kv *fakeKV) error {
		e, ok := kv.entries[key]
		if !ok {
			return kvapi.ErrNotFound
		}
		out = e
		return nil
	})
	return out, err
}

func (c *fakeClient) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := c.do(ctx, true, func(kv *fakeKV) error {
		if _, ok := kv.leases[w.LeaseID]; !ok {
			return kvapi.ErrLeaseNotFound
		}
		if _, ok := kv.entries[w.Key]; ok && w.IfVersion == kvapi.IfAbsent {
			return kvapi.ErrConflict
		}
		kv.revision++
		out = kvapi.Entry{Key: w.Key, Value: w.Value, Version: 1, Revision: kv.revision, LeaseID: w.LeaseID}
		kv.entries[w.Key] = out
		return nil
	})
	return out, err
}

func (c *fakeClient) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := c.do(ctx, false, func(kv *fakeKV) error {
		kv.granted++
		id = strconv.Itoa(kv.granted)
		kv.leases[id] = fakeLease{ttl: ttl, until: time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

func (c *fakeClient) Renew(ctx context.Context, id string) error {
	return c.do(ctx, false, func(kv *fakeKV) error {
		l, ok := kv.leases[id]
		if !ok {
			return kvapi.ErrLeaseNotFound
		}
		l.until = time.Now().Add(l.ttl)
		kv.leases[id] = l
		return nil
	})
}

func (c *fakeClient) Revoke(ctx context.Context, id string) error {
	return c.do(ctx, true, func(kv *fakeKV) error {
		kv.end(id)
		return nil
	})
}

func (c *fakeClient) List(context.Context, string, int) ([]kvapi.Entry, error) {
	return nil, kvapi.ErrOutcomeUnknown
}

func (c *fakeClient) Delete(context.Context, string, int64) error { return kvapi.ErrOutcomeUnknown }

func (c *fakeClient) Watch(context.Context, string, int64, time.Duration) (kvapi.Entry, error) {
	return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
}
