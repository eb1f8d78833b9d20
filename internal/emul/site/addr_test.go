package site

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against calls that reach an upstream of another deployment on the machine, because that has the port of a host
// that restarts or has not started yet.
func TestAddressesOfDeployments(t *testing.T) {
	t.Parallel()
	sites := make([]*Site, 2)
	var runs sync.WaitGroup
	for i := range sites {
		s := &Site{Hosts: 1, Engines: 1, Plain: 1, ModelRate: 1, PlainRate: 1, Duration: time.Millisecond}
		sites[i] = s
		runs.Go(func() {
			if _, err := s.Run(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	runs.Wait()
	var ips []string
	for _, s := range sites {
		for _, h := range s.hosts {
			ip, _, err := net.SplitHostPort(h.settings.Front)
			if err != nil {
				t.Fatal(err)
			}
			ips = append(ips, ip)
		}
	}
	if len(ips) != 2 || ips[0] == ips[1] {
		t.Errorf("hosts of two deployments have the addresses %v", ips)
	}
}
