package lonet

import (
	"net"
	"testing"
)

// Guards against two deployments with the same address, and against a port that is given out twice.
func TestAddresses(t *testing.T) {
	const nets, ports = 50, 20
	seen := make(map[string]bool)
	for range nets {
		n, err := Claim()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		if l, err := net.Listen("tcp4", n.claim.Addr().String()); err == nil {
			_ = l.Close()
			t.Fatalf("%s is not held", n.IP)
		}
		for range ports {
			addr, err := n.Addr()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Errorf("%s was returned twice", addr)
			}
			seen[addr] = true
		}
	}
}
