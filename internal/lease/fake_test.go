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
	// fakeKV is an in-memory key-value service; each host calls it through its own fakeClient.
	fakeKV struct {
		mu         sync.Mutex
		revision   int64
		leaseCount int
		entries    map[string]kvapi.Entry
		leases     map[string]fakeLease
		calls      int
	}

	fakeLease struct {
		ttl   time.Duration
		until time.Time
	}

	// fakeClient simulates the connection of one host to the service, with faults.
	fakeClient struct {
		kv *fakeKV
		mu sync.Mutex
		// unreachable makes calls time out without effect. dropResponses makes writes time out although they take
		// effect. blockResponses delays responses until it is closed, even after the context has ended, as in a paused
		// process. writeDelay makes writes take effect late; their calls time out.
		unreachable, dropResponses bool
		blockResponses             chan struct{}
		writeDelay                 time.Duration
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

// do executes one call on the service with the faults that are set.
func (c *fakeClient) do(ctx context.Context, write bool, f func(kv *fakeKV) error) error {
	c.mu.Lock()
	unreachable, writeDelay := c.unreachable, c.writeDelay
	c.mu.Unlock()
	c.kv.mu.Lock()
	c.kv.calls++
	c.kv.mu.Unlock()
	if write && writeDelay > 0 {
		time.AfterFunc(writeDelay, func() { _ = c.kv.apply(f) })
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	if unreachable {
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	time.Sleep(fakeDelay)
	err := c.kv.apply(f)
	c.mu.Lock()
	blockResponses, dropResponse := c.blockResponses, c.dropResponses && write
	c.mu.Unlock()
	if blockResponses != nil {
		<-blockResponses
	}
	if dropResponse {
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
		kv.removeLease(id)
	}
	return f(kv)
}

func (kv *fakeKV) removeLease(id string) {
	delete(kv.leases, id)
	for key, e := range kv.entries {
		if e.LeaseID == id {
			delete(kv.entries, key)
		}
	}
}

func (kv *fakeKV) callCount() int {
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
		kv.leaseCount++
		id = strconv.Itoa(kv.leaseCount)
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
		kv.removeLease(id)
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
