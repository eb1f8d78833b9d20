package sched_test

import (
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

// mixedUpstreams returns four engines, e0 and e1 of version v1, e2 and e3 of version v2.
func mixedUpstreams() []*topo.Upstream {
	list := upstreams(4)
	for i, u := range list {
		if u.Software = "v1"; i >= 2 {
			u.Software = "v2"
		}
	}
	return list
}

// Guards against a stream that goes on at another software version than the one that began it, against a call that waits
// although no engine of that version can serve it, and against one that does not wait for a load on such an engine.
func TestContinuationKeepsVersion(t *testing.T) {
	for _, tt := range []struct {
		name     string
		software string
		change   func(list []*topo.Upstream)
		want     []string // engines that may serve the call; none if it is rejected or waits for one
		waits    bool
	}{
		{"no version required", "", func([]*topo.Upstream) {}, []string{"e0", "e1", "e2", "e3"}, false},
		{"first version", "v1", func([]*topo.Upstream) {}, []string{"e0", "e1"}, false},
		{"second version", "v2", func([]*topo.Upstream) {}, []string{"e2", "e3"}, false},
		{"version without engines", "v3", func([]*topo.Upstream) {}, nil, false},
		{"engine started again with the other version", "v1", func(l []*topo.Upstream) {
			l[0].Boot, l[0].Software = 2, "v2"
		}, []string{"e1"}, false},
		{"engine started again with that version", "v2", func(l []*topo.Upstream) {
			l[0].Boot, l[0].Software = 2, "v2"
		}, []string{"e0", "e2", "e3"}, false},
		{"one engine of the version leaves", "v1", func(l []*topo.Upstream) { l[0].Leaving = true }, []string{"e1"}, false},
		{"all engines of the version leave", "v1", func(l []*topo.Upstream) {
			l[0].Leaving, l[1].Leaving = true, true
		}, nil, false},
		{"engines of the version lack the model", "v1", func(l []*topo.Upstream) {
			for _, u := range l[:2] {
				u.Boot, u.Models = 2, nil
			}
		}, nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(0)
			s.SetUpstreams(start, mixedUpstreams())
			list := mixedUpstreams()
			tt.change(list)
			s.SetUpstreams(start, list)
			q := call("a", 100)
			q.Software = tt.software
			got := s.Schedule(start, q)
			missing := s.Demand(start)["m"].Versions
			if tt.waits != (missing[tt.software] == 1) {
				t.Errorf("calls that wait for a version: %v", missing)
			}
			if tt.waits {
				if got.Kind != sched.Waiting {
					t.Errorf("%+v, want the call to wait", got)
				}
				s.PlacementFrom = time.Time{}
				q.Call = "b"
				got = s.Schedule(start, q)
			}
			if len(tt.want) == 0 {
				if got.Kind != sched.Rejected || got.Reason != sched.ReasonVersionGone {
					t.Errorf("%+v, want a rejection at once", got)
				}
				return
			}
			if got.Kind != sched.Granted || !slices.Contains(tt.want, got.Grant.Engine) {
				t.Errorf("%+v, want one of %q", got, tt.want)
			}
			for _, u := range list {
				if u.ID == got.Grant.Engine && u.Software != got.Grant.Software {
					t.Errorf("the grant has version %q, the engine %q", got.Grant.Software, u.Software)
				}
			}
		})
	}
}

// Guards against a call that is rejected at once although an engine of its version is loading the model, and against one
// that is sent to an engine of another version meanwhile.
func TestContinuationWaitsForLoad(t *testing.T) {
	s := newScheduler(0)
	list := mixedUpstreams()
	list[0].Models, list[1].Models = nil, nil
	s.SetUpstreams(start, list)
	s.OrderAccepted(start, "e1", &topo.Order{Model: "m"}, 1, topo.OrderAccepted)
	q := call("a", 100)
	q.Software = "v1"
	if got := s.Schedule(start, q); got.Kind != sched.Waiting {
		t.Fatalf("%+v, want the call to wait for the load", got)
	}
	s.SetReport(start.Add(time.Second), "e1", &topo.Report{Boot: 1, Sequence: 1, Models: []topo.Resident{{Name: "m"}}})
	for _, got := range s.Step(start.Add(time.Second)) {
		if got.Kind != sched.Granted || got.Grant.Engine != "e1" {
			t.Errorf("%+v, want e1", got)
		}
	}
	if n := s.Waiting(); n != 0 {
		t.Errorf("%d calls wait", n)
	}
}

// Guards against a stream that is taken up at another version than the one that began it, also a second time, and
// against a take-up of an unknown stream that is served by any version.
func TestTakeUp(t *testing.T) {
	s := newScheduler(0)
	s.SetUpstreams(start, mixedUpstreams())
	s.Streams.Begin(start, vers.Record{Stream: vers.Stream("first"), Software: "v2"})
	for _, tt := range []struct{ name, call, resumes, want string }{
		{"known", "b", "first", "v2"},
		{"known, second time", "c", "first", "v2"},
		{"named by a later attempt", "d", "b", ""},
		{"unknown", "e", "other", ""},
		{"not named", "f", "", ""},
	} {
		q := call(tt.call, 100)
		q.TakesUp, q.Resumes = true, tt.resumes
		got := s.Schedule(start, q)
		switch {
		case tt.want == "" && (got.Kind != sched.Rejected || got.Reason != sched.ReasonVersionUnknown || got.RetryAfter <= 0):
			t.Errorf("%s: %+v, want a rejection with a retry time", tt.name, got)
		case tt.want != "" && (got.Kind != sched.Granted || got.Grant.Software != tt.want):
			t.Errorf("%s: %+v, want version %s", tt.name, got, tt.want)
		}
	}
}
