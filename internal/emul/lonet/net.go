package lonet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// claimPort is the port that a Net holds for as long as its address is in use.
	claimPort = 20_000
	lastPort  = 65_535
	// maxDraws is the number of addresses that Claim tries.
	maxDraws = 100
)

// Net is a loopback address that no other Net on this machine has. It is not safe for concurrent use.
type Net struct {
	IP string

	claim net.Listener
	port  int // the last one that was returned
}

// Claim returns a Net, which belongs to the caller until Close. It needs a system such as Linux, on which all of
// 127.0.0.0/8 is local.
func Claim() (*Net, error) {
	for range maxDraws {
		// The lower half is left to addresses that are set by hand.
		ip := fmt.Sprintf("127.%d.%d.%d", 128+rand.IntN(127), rand.IntN(256), 1+rand.IntN(254))
		l, err := listen(ip, claimPort)
		switch {
		case err == nil:
			return &Net{IP: ip, claim: l, port: claimPort}, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, err
		}
	}
	return nil, errors.Errorf("port %d is taken at each of %d loopback addresses", claimPort, maxDraws)
}

// Listen listens on a port that was not returned before.
func (n *Net) Listen() (net.Listener, error) {
	for n.port < lastPort {
		n.port++
		l, err := listen(n.IP, n.port)
		// A listener for all addresses of the machine may have the port.
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
	return nil, errors.Errorf("no port of %s is left", n.IP)
}

// Addr returns an address with a port that was not returned before, for a process that listens there itself.
func (n *Net) Addr() (string, error) {
	l, err := n.Listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), errors.Wrap(l.Close(), "free port")
}

// Close gives the address up. Its listeners must be closed before.
func (n *Net) Close() error { return errors.Wrap(n.claim.Close(), "give up loopback address") }

func listen(ip string, port int) (net.Listener, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
	return l, errors.Wrap(err, "listen on loopback")
}
