package kvfake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
)

// Guards against a fake that accepts a write although the key has another version than the write expects.
func TestPutVersionCondition(t *testing.T) {
	kv := kvfake.New().Client("a")
	for _, tt := range []struct {
		ifVersion int64
		want      error
	}{
		{1, kvapi.ErrConflict},
		{kvapi.IfAbsent, nil},
		{kvapi.IfAbsent, kvapi.ErrConflict},
		{1, nil},
		{1, kvapi.ErrConflict},
		{kvapi.AnyVersion, nil},
	} {
		_, err := kv.Put(t.Context(), kvapi.Write{Key: "k", IfVersion: tt.ifVersion})
		if !errors.Is(err, tt.want) {
			t.Fatalf("Put(if_version %d) = %v, want %v", tt.ifVersion, err, tt.want)
		}
	}
}

// Guards against a fault after execution whose write did not take effect, and against faults that affect more calls
// than their count.
func TestFaultsBeforeAndAfterExecution(t *testing.T) {
	store := kvfake.New()
	kv := store.Client("a")
	store.InjectFault(kvfake.Fault{Kind: kvfake.Put, Prefix: "lost", AfterExecution: true})
	store.InjectFault(kvfake.Fault{Kind: kvfake.Put, Prefix: "early"})
	for _, key := range []string{"lost", "early", "fine"} {
		_, err := kv.Put(t.Context(), kvapi.Write{Key: key, IfVersion: kvapi.IfAbsent})
		if (err == nil) != (key == "fine") {
			t.Errorf("Put(%s) = %v", key, err)
		}
		if _, err = kv.Get(t.Context(), key); (err == nil) != (key != "early") {
			t.Errorf("Get(%s) = %v", key, err)
		}
	}
}

// Guards against keys that outlive their lease, and leases that expire although they were renewed.
func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := kvfake.New().Client("a")
		id, _ := kv.Grant(t.Context(), 10*time.Second)
		_, _ = kv.Put(t.Context(), kvapi.Write{Key: "k", LeaseID: id})
		time.Sleep(9 * time.Second)
		if err := kv.Renew(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if _, err := kv.Get(t.Context(), "k"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, err := kv.Get(t.Context(), "k"); !errors.Is(err, kvapi.ErrNotFound) {
			t.Errorf("Get after the lease = %v", err)
		}
		if err := kv.Renew(t.Context(), id); !errors.Is(err, kvapi.ErrLeaseNotFound) {
			t.Errorf("Renew after the lease = %v", err)
		}
	})
}

// Guards against watches that miss a write, do not end after their wait, or do not fail when the client is partitioned.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvfake.New()
		kv := store.Client("a")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, tt := range []struct {
			act  func()
			want error
		}{
			{func() { _, _ = store.Client("b").Put(ctx, kvapi.Write{Key: "k"}) }, nil},
			{func() { _, _ = store.Client("b").Put(ctx, kvapi.Write{Key: "other"}) }, kvapi.ErrNoChange},
			{func() { store.SetPartitioned("a", true) }, kvapi.ErrOutcomeUnknown},
		} {
			time.AfterFunc(time.Second, tt.act)
			e, err := kv.Watch(ctx, "k", 0, 5*time.Second)
			if !errors.Is(err, tt.want) {
				t.Errorf("Watch = %v, want %v", err, tt.want)
			}
			_ = kv.Delete(ctx, "k", e.Version)
		}
		if n := store.CallsOf("a", kvfake.Watch); n != 3 {
			t.Errorf("%d counted watches, want 3", n)
		}
	})
}
