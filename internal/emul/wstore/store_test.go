package wstore_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/wstore"
	"github.com/figreel/figreel/internal/weight"
	"github.com/figreel/figreel/internal/xhttp"
)

// TestLimits guards against loads that run at full speed although they exceed the limits of the store.
func TestLimits(t *testing.T) {
	cases := []struct {
		name    string
		store   *wstore.Store
		adapter bool
		loads   int
		want    time.Duration
	}{
		{"within the limits", &wstore.Store{LoadTime: time.Second, MaxConcurrentLoads: 2}, false, 2, time.Second},
		{
			"twice as many concurrent loads", &wstore.Store{LoadTime: time.Second, MaxConcurrentLoads: 2}, false, 4,
			2 * time.Second,
		},
		{"starts per second", &wstore.Store{LoadTime: time.Second, LoadsPerS: 2}, false, 3, 2 * time.Second},
		{"adapters", &wstore.Store{AdapterTime: time.Second, MaxConcurrentAdapterLoads: 1}, true, 3, 3 * time.Second},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			var n memnet.Net
			defer n.Serve("w:80", tc.store)()
			c := &xhttp.Client{Dial: n.Dial}
			start := time.Now()
			var wg sync.WaitGroup
			for range tc.loads {
				wg.Go(func() {
					in := weight.Item{Name: "a@1", Adapter: tc.adapter}
					r, _ := xhttp.NewRequest(t.Context(), http.MethodPost, "http://w:80/v1/pull", in)
					resp, err := c.Do(r)
					if err != nil {
						t.Error(err)
						return
					}
					_ = resp.Body.Close()
				})
			}
			wg.Wait()
			if got := time.Since(start); got != tc.want {
				t.Errorf("%s: took %v, want %v", tc.name, got, tc.want)
			}
		})
	}
}
