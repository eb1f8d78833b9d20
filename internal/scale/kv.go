package scale

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/kvapi"
)

const kvDelay = 2 * time.Millisecond

type (
	// kvCounter is as much of a key-value service as leases use, with counts; down makes it answer nothing.
	kvCounter struct {
		kvapi.Service

		mu       sync.Mutex
		down     bool
		revision int64
		granted  int
		entries  map[string]kvapi.Entry
		leases   map[string]time.Time
		ttl      time.Duration
		reads    int
		writes   int
	}
)

func newKVCounter() *kvCounter {
	return &kvCounter{entries: make(map[string]kvapi.Entry), leases: make(map[string]time.Time)}
}

func (kv *kvCounter) do(ctx context.Context, count *int, f func() error) error {
	kv.mu.Lock()
	*count++
	down := kv.down
	kv.mu.Unlock()
	if down {
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	time.Sleep(kvDelay)
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return f()
}

// alive reports whether a lease exists, and ends it with its keys if its time is over.
func (kv *kvCounter) alive(id string) bool {
	until, ok := kv.leases[id]
	if ok && time.Now().Before(until) {
		return true
	}
	kv.end(id)
	return false
}

func (kv *kvCounter) end(id string) {
	delete(kv.leases, id)
	for key, e := range kv.entries {
		if e.LeaseID == id {
			delete(kv.entries, key)
		}
	}
}

func (kv *kvCounter) Get(ctx context.Context, key string) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := kv.do(ctx, &kv.reads, func() error {
		e, ok := kv.entries[key]
		if !ok || !kv.alive(e.LeaseID) {
			return kvapi.ErrNotFound
		}
		out = e
		return nil
	})
	return out, err
}

func (kv *kvCounter) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := kv.do(ctx, &kv.writes, func() error {
		if !kv.alive(w.LeaseID) {
			return kvapi.ErrLeaseNotFound
		}
		if e, ok := kv.entries[w.Key]; ok && kv.alive(e.LeaseID) {
			return kvapi.ErrConflict
		}
		kv.revision++
		out = kvapi.Entry{Key: w.Key, Value: w.Value, Version: 1, Revision: kv.revision, LeaseID: w.LeaseID}
		kv.entries[w.Key] = out
		return nil
	})
	return out, err
}

func (kv *kvCounter) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := kv.do(ctx, &kv.writes, func() error {
		kv.granted++
		id = strconv.Itoa(kv.granted)
		kv.ttl = ttl
		kv.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (kv *kvCounter) Renew(ctx context.Context, id string) error {
	return kv.do(ctx, &kv.writes, func() error {
		if !kv.alive(id) {
			return kvapi.ErrLeaseNotFound
		}
		kv.leases[id] = time.Now().Add(kv.ttl)
		return nil
	})
}

func (kv *kvCounter) Revoke(ctx context.Context, id string) error {
	return kv.do(ctx, &kv.writes, func() error {
		kv.end(id)
		return nil
	})
}

// setDown starts or ends an outage.
func (kv *kvCounter) setDown(down bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.down = down
}

func (kv *kvCounter) counts() (reads, writes int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.reads, kv.writes
}
