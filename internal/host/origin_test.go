package host

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// setSplit lets a scheduler know services that share a route, each with one engine of its version.
func setSplit(tk *ticketService, versions map[string]string) {
	var ups []*topo.Upstream
	cfg := &topo.Config{
		Routes:   []topo.Route{{Kind: topo.Stream, Resumable: true, Timeout: streamTimeout}},
		Services: make(map[string]topo.Service),
	}
	for service, version := range versions {
		cfg.Services[service] = topo.Service{
			Name: service, Engine: &topo.EngineSpec{Slots: 8, KVTokens: 1000, Models: []topo.Model{{Name: "m"}}},
		}
		ups = append(ups, &topo.Upstream{
			ID: "engine of " + service, Service: service, Slots: 8, Software: version,
			Models: []topo.Resident{{Name: "m"}},
		})
	}
	tk.withScheduler(func(now time.Time, k *sched.Scheduler) {
		k.SetConfig(cfg)
		k.SetUpstreams(now, ups)
	})
}

// Guards against a stream of a route that is split over several services which is looked for, or goes on, at another
// service than the one that began it, because a take-up is drawn like a new call.
func TestTakeUpAtServiceOfStream(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions map[string]string // by service
	}{
		{"different versions", map[string]string{"a": "v1", "b": "v2"}},
		{"the same version", map[string]string{"a": "v1", "b": "v1"}},
	} {
		for _, began := range []string{"a", "b"} {
			for _, drawn := range []string{"a", "b"} {
				t.Run(tt.name+", began at "+began+", drawn "+drawn, func(t *testing.T) {
					withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
						lost, other := streamTickets(s), streamTickets(s)
						for _, tk := range []*ticketService{leader, lost, other} {
							setSplit(tk, tt.versions)
						}
						lost.self, other.self = "lost", "other"
						follow(t, lost, leader)
						follow(t, other, leader)
						lost.mu.Lock()
						lost.openTickets[7] = &sched.OpenTicket{
							Request: sched.Request{Call: "a stream", Service: began, Resumable: true},
						}
						lost.mu.Unlock()
						lost.FirstEvent(sched.Grant{Ticket: 7, Software: tt.versions[began]}, nil)
						time.Sleep(100 * time.Millisecond)
						for _, at := range []*ticketService{lost, leader, other} {
							d, err := at.RequestTicket(t.Context(), sched.Request{
								Call: "take-up", Service: drawn, Remaining: 4 * time.Second, TargetLatency: time.Second,
								Spec:    topo.CallSpec{Model: "m", PromptTokens: 10},
								TakesUp: true, Resumes: "a stream", Resumable: true,
							})
							if err != nil || d.Kind != sched.Granted || d.Grant.Engine != "engine of "+began {
								t.Errorf("at %s: %+v, %v, want the engine of %s", at.self, d, err, began)
							}
						}
					})
				})
			}
		}
	}
}
