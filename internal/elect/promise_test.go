package elect_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/elect"
)

// Guards against orders of a leader that cannot renew its lease although another host may have become leader: one that
// has not promised to send none, one whose promise has ended or was forgotten in a restart, or one that this host has
// not heard of. Also guards against a leader that stops although all hosts have promised.
func TestPromises(t *testing.T) {
	const (
		leaseEnd = time.Minute
		inLease  = leaseEnd - time.Second
		second   = time.Second
	)
	type promise struct {
		host  string
		nonce string
		at    time.Duration
	}
	all := []promise{{"b", "n", inLease}, {"c", "n", inLease}}
	hosts := []string{"b", "c"}
	for _, tt := range []struct {
		name     string
		hosts    []string
		listedAt time.Duration
		added    []string
		promises []promise
		at       time.Duration
		valid    bool
	}{
		{"all promise", hosts, inLease, nil, all, leaseEnd + second, true},
		{"no other host", nil, inLease, nil, nil, leaseEnd, false},
		{"one does not promise", hosts, inLease, nil, all[:1], leaseEnd, false},
		{"the only other host does not promise", hosts[:1], inLease, nil, nil, leaseEnd, false},
		{"one registers later", hosts, inLease, []string{"d"}, all, leaseEnd, false},
		{"one that is known registers again", hosts, inLease, []string{"c"}, all, leaseEnd, true},
		{"the list of hosts is old", hosts, inLease - 5*second, nil, all, leaseEnd, false},
		{"promises of another leadership", hosts, inLease, nil, []promise{{"b", "m", inLease}, {"c", "m", inLease}}, leaseEnd, false},
		{"promises have ended, as after a suspension", hosts, inLease, nil, all, leaseEnd + 20*second, false},
		{"one promises first after the lease", hosts, inLease, nil, []promise{
			all[0], {"b", "n", leaseEnd + 4*second}, {"c", "n", leaseEnd + 4*second},
		}, leaseEnd + 5*second, false},
		{"one promises again after a pause in which it was bound", hosts, inLease, nil, append([]promise{
			{"b", "n", leaseEnd + 4*second}, {"c", "n", leaseEnd + 4*second},
		}, all...), leaseEnd + 5*second, false},
		{"all promise again after a pause in which they were bound", hosts, inLease, nil, append(all[:2:2], []promise{
			{"b", "n", leaseEnd + 4*second}, {"c", "n", leaseEnd + 4*second},
		}...), leaseEnd + 5*second, true},
		{"one promises again after a pause in which it was not bound", hosts, inLease, nil, append(all[:2:2], []promise{
			{"b", "n", leaseEnd + 4*second}, {"c", "n", leaseEnd + 6*second},
		}...), leaseEnd + 6*second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := elect.Promises{HandoverDelay: handoverDelay}
			p.SetHosts(tt.listedAt, tt.hosts)
			p.AddHosts(tt.added)
			for _, r := range tt.promises {
				p.Record(elect.Term{Nonce: r.nonce, LeaseEnd: leaseEnd}, r.host, r.at, r.at+100*time.Millisecond)
			}
			until := p.Until(elect.Term{Nonce: "n", LeaseEnd: leaseEnd})
			if valid := tt.at < until; valid != tt.valid {
				t.Errorf("promised until %v, so orders at %v are allowed: %v", until, tt.at, valid)
			}
		})
	}
}
