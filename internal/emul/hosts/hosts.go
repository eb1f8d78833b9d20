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
	// List is a service registry whose responses are stale by Lag: they hold the newest list that was posted at least
	// Lag ago. Set its exported fields before the first request.
	List struct {
		Lag   time.Duration
		Fault fault.Injector

		mu       sync.Mutex
		versions []version
		record   Record
	}

	// version is one posted list.
	version struct {
		postedAt time.Time
		list     svcreg.List
	}

	// Record counts the requests of a List: posts, responses to reads, and responses that said only "unchanged".
	Record struct {
		Posts     int `json:"posts"`
		Responses int `json:"answers"`
		Unchanged int `json:"unchanged"`
	}
)

// ServeHTTP handles GET and POST /v1/list, /fault and /record.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.Fault.Serve(w, r, l.serve, func() any { return l.Record() })
}

// Record returns the request counts so far.
func (l *List) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Set posts a new list, which responses contain after Lag.
func (l *List) Set(hosts []svcreg.Host, upstreams []svcreg.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Posts++
	// Cursor 1 is the empty list before the first post.
	next := svcreg.List{
		Cursor: int64(len(l.versions)) + 2, Hosts: append([]svcreg.Host{}, hosts...),
		Upstreams: append([]svcreg.Upstream{}, upstreams...),
	}
	l.versions = append(l.versions, version{postedAt: time.Now(), list: next})
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/list" {
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "no_such_call"})
		return
	}
	if r.Method == http.MethodPost {
		var in svcreg.List
		if fault.ReadJSON(w, r, &in) {
			l.Set(in.Hosts, in.Upstreams)
			fault.WriteJSON(w, http.StatusOK, struct{}{})
		}
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	fault.WriteJSON(w, http.StatusOK, l.listSince(since))
}

// listSince returns the list that is visible now, or only Unchanged if its cursor equals since.
func (l *List) listSince(since int64) svcreg.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := svcreg.List{Cursor: 1, Hosts: []svcreg.Host{}, Upstreams: []svcreg.Upstream{}}
	for _, v := range l.versions {
		if time.Since(v.postedAt) >= l.Lag {
			out = v.list
		}
	}
	l.record.Responses++
	if out.Cursor == since {
		l.record.Unchanged++
		return svcreg.List{Cursor: since, Unchanged: true}
	}
	return out
}
