package scale

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/kvapi"
)

// kvDelay is the simulated response time of the key-value service.
const kvDelay = 2 * time.Millisecond

type (
	// fakeKV implements the calls of the key-value service that leases use and counts reads and writes. During an
	// outage it sends no response: a call blocks until its context ends and returns ErrOutcomeUnknown.
	fakeKV struct {
		kvapi.Service

		mu       sync.Mutex
		outage   bool
		revision int64
		granted  int
		entries  map[string]kvapi.Entry
		leases   map[string]time.Time
		ttl      time.Duration
		reads    int
		writes   int
	}
)

func newFakeKV() *fakeKV {
	return &fakeKV{entries: make(map[string]kvapi.Entry), leases: make(map[string]time.Time)}
}

// call counts a call and applies it under the lock after the response time.
func (kv *fakeKV) call(ctx context.Context, counter *int, apply func() error) error {
	kv.mu.Lock()
	*counter++
	outage := kv.outage
	kv.mu.Unlock()
	if outage {
		<-ctx.Done()
		return kvapi.ErrOutcomeUnknown
	}
	time.Sleep(kvDelay)
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return apply()
}

// isLeaseValid reports whether a lease exists and has not expired. It deletes an expired lease with its keys.
func (kv *fakeKV) isLeaseValid(id string) bool {
	expiry, ok := kv.leases[id]
	if ok && time.Now().Before(expiry) {
		return true
	}
	kv.deleteLease(id)
	return false
}

func (kv *fakeKV) deleteLease(id string) {
	delete(kv.leases, id)
	for key, e := range kv.entries {
		if e.LeaseID == id {
			delete(kv.entries, key)
		}
	}
}

func (kv *fakeKV) Get(ctx context.Context, key string) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := kv.call(ctx, &kv.reads, func() error {
		e, ok := kv.entries[key]
		if !ok || !kv.isLeaseValid(e.LeaseID) {
			return kvapi.ErrNotFound
		}
		out = e
		return nil
	})
	return out, err
}

func (kv *fakeKV) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	var out kvapi.Entry
	err := kv.call(ctx, &kv.writes, func() error {
		if !kv.isLeaseValid(w.LeaseID) {
			return kvapi.ErrLeaseNotFound
		}
		if e, ok := kv.entries[w.Key]; ok && kv.isLeaseValid(e.LeaseID) {
			return kvapi.ErrConflict
		}
		kv.revision++
		out = kvapi.Entry{Key: w.Key, Value: w.Value, Version: 1, Revision: kv.revision, LeaseID: w.LeaseID}
		kv.entries[w.Key] = out
		return nil
	})
	return out, err
}

func (kv *fakeKV) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := kv.call(ctx, &kv.writes, func() error {
		kv.granted++
		id = strconv.Itoa(kv.granted)
		kv.ttl = ttl
		kv.leases[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (kv *fakeKV) Renew(ctx context.Context, id string) error {
	return kv.call(ctx, &kv.writes, func() error {
		if !kv.isLeaseValid(id) {
			return kvapi.ErrLeaseNotFound
		}
		kv.leases[id] = time.Now().Add(kv.ttl)
		return nil
	})
}

func (kv *fakeKV) Revoke(ctx context.Context, id string) error {
	return kv.call(ctx, &kv.writes, func() error {
		kv.deleteLease(id)
		return nil
	})
}

// setOutage starts or ends an outage.
func (kv *fakeKV) setOutage(outage bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.outage = outage
}

func (kv *fakeKV) counts() (reads, writes int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.reads, kv.writes
}
