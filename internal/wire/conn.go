package wire

import "context"

type (
	// Stream carries the messages of one exchange between two hosts in both directions. Recv returns io.EOF after the
	// peer has closed its side.
	Stream interface {
		Send(v any) error
		Recv(v any) error
		// Close ends the stream in both directions; the peer's Recv returns an error or io.EOF.
		Close() error
	}

	// Dialer opens streams to the host at an address such as 127.0.0.1:7000.
	Dialer interface {
		Open(ctx context.Context, addr string, kind Kind) (Stream, error)
	}

	// Handler serves one stream that another host opened; from is the name in that host's certificate.
	Handler func(ctx context.Context, from string, kind Kind, c Stream)
)
