package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against plain calls of a follower that the leader's accounts do not see, and against a follower that goes on
// with plain calls of a workspace that the leader knows to be exhausted.
func TestQuotaAcrossHosts(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &stub.Store{}
	s.Set("conf/main", "5")
	sc := testHost(s, topo.Host{Name: "leader", Ready: true})
	sc.elector.Rank = func(string) int { return 0 }
	go sc.elector.Run(ctx)
	for _, prefix := range sc.prefixes() {
		go sc.run(ctx, prefix, func() bool { return true })
	}
	leader, follower := testTickets(), testTickets()
	leader.elector, leader.self = sc.elector, "leader"
	quotas := []topo.Workspace{{Name: "w", Quota: topo.Quota{Rate: 100, Burst: 100}}}
	for _, h := range []*ticketService{leader, follower} {
		h.senders = func() int { return 2 }
		h.quota.Bounds.Slack, h.quota.Bounds.Window = 500, 8*time.Second
		h.withScheduler(func(now time.Time, _ *sched.Scheduler) { h.quota.SetWorkspaces(now, quotas) })
		h.wakeQuota()
		go h.runQuota(ctx)
	}
	deadline := time.Now().Add(30 * time.Second)
	// Hosts connect to one that leads; one that does not lead closes their connections.
	for leads := false; !leads; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the leader does not lead")
		}
		_, leads = sc.elector.OrderDelay()
	}
	a, b := net.Pipe()
	c := link.NewConn(b)
	follower.mu.Lock()
	follower.leaderConn = c
	follower.quota.Follow("term")
	follower.mu.Unlock()
	go leader.serveFollower(link.NewConn(a), &link.Message{Kind: link.Hello, Host: "h1"})
	go func() { _ = follower.readReplies(c) }()
	share := func() float64 {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.quota.Share()
	}
	for share() < 1 {
		if time.Now().After(deadline) {
			t.Fatalf("the leader has a share of %.2f", share())
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	// The accounts are full. From now on so little flows in that what is charged shows, however slow the machine is.
	quotas = []topo.Workspace{{Name: "w", Quota: topo.Quota{Rate: 1, Burst: 100}}}
	for _, h := range []*ticketService{leader, follower} {
		h.withScheduler(func(now time.Time, _ *sched.Scheduler) { h.quota.SetWorkspaces(now, quotas) })
	}
	begun := time.Now()
	served := chargeMany(follower, begun.Add(20*time.Second))
	const room = 4 // what is used of the slack, see package quota
	most := 100 + time.Since(begun).Seconds() + room
	if float64(served) > most || served < 60 {
		t.Errorf("%d plain calls were served, at most %.0f are allowed", served, most)
	}
	time.Sleep(time.Second) // until the last report has arrived
	leader.mu.Lock()
	defer leader.mu.Unlock()
	leader.updateQuota()
	if _, _, ok := leader.quota.Charge(time.Now(), "w", 90); ok {
		t.Error("the leader's account is not charged")
	}
}

// chargeMany asks for 2,000 plain calls or more, until 60 have been served or the time has come, and returns how many
// were served.
func chargeMany(s *ticketService, end time.Time) int {
	served := 0
	for n := 0; n < 200 || served < 60 && time.Now().Before(end); n++ {
		for range 10 {
			if _, ok := s.ChargePlain("w", 1); ok {
				served++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return served
}
