package hosts

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/svcreg"
)

type (
	// Registry is a service registry whose responses are stale by Staleness: they hold the newest list that was posted
	// at least that long ago. Set its exported fields before the first request.
	Registry struct {
		Staleness time.Duration
		Fault     fault.Injector

		mu       sync.Mutex
		versions []version
		record   Record
	}

	// version is one posted list.
	version struct {
		postedAt time.Time
		list     svcreg.List
	}

	// Record counts the requests of a Registry: posts, responses to reads, and responses that said only "unchanged".
	Record struct {
		Posts     int `json:"posts"`
		Responses int `json:"answers"`
		Unchanged int `json:"unchanged"`
	}
)

// ServeHTTP handles GET and POST /v1/list, /fault and /record.
func (reg *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reg.Fault.Serve(w, r, reg.serve, func() any { return reg.Record() })
}

// Record returns the request counts so far.
func (reg *Registry) Record() Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.record
}

// Set posts a new list, which responses contain after Staleness.
func (reg *Registry) Set(hosts []svcreg.Host, upstreams []svcreg.Upstream) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.record.Posts++
	// Cursor 1 is the empty list before the first post.
	next := svcreg.List{
		Cursor: int64(len(reg.versions)) + 2, Hosts: append([]svcreg.Host{}, hosts...),
		Upstreams: append([]svcreg.Upstream{}, upstreams...),
	}
	reg.versions = append(reg.versions, version{postedAt: time.Now(), list: next})
}

func (reg *Registry) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/list" {
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "no_such_call"})
		return
	}
	if r.Method == http.MethodPost {
		var in svcreg.List
		if fault.ReadJSON(w, r, &in) {
			reg.Set(in.Hosts, in.Upstreams)
			fault.WriteJSON(w, http.StatusOK, struct{}{})
		}
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	fault.WriteJSON(w, http.StatusOK, reg.listSince(since))
}

// listSince returns the list that is visible now, or only Unchanged if its cursor equals since.
func (reg *Registry) listSince(since int64) svcreg.List {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := svcreg.List{Cursor: 1, Hosts: []svcreg.Host{}, Upstreams: []svcreg.Upstream{}}
	for _, v := range reg.versions {
		if time.Since(v.postedAt) >= reg.Staleness {
			out = v.list
		}
	}
	reg.record.Responses++
	if out.Cursor == since {
		reg.record.Unchanged++
		return svcreg.List{Cursor: since, Unchanged: true}
	}
	return out
}
