package wire

import "context"

type (
	// Stream is one exchange between two hosts; Recv returns io.EOF after the peer has closed its side.
	Stream interface {
		Send(v any) error
		Recv(v any) error
		// Close ends the exchange in both directions; the peer sees an error or io.EOF.
		Close() error
	}

	// Dialer opens exchanges with the host at an address such as 127.0.0.1:7000.
	Dialer interface {
		Open(ctx context.Context, addr string, kind Kind) (Stream, error)
	}

	// Handler serves one exchange that another host opened; from is the name in that host's certificate.
	Handler func(ctx context.Context, from string, kind Kind, c Stream)
)
