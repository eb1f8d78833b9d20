package member

import (
	"context"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/certs"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/wire"
)

// Guards against a table that works only on the in-memory network: over QUIC, names come from certificates, addresses
// are real and connections are reused.
func TestTablesOverRealConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	authority, err := certs.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	changed := make(chan struct{}, 1)
	var tables []*Table
	var seed string
	for i := range 3 {
		cert, err := authority.IssueHost(nameOf(i))
		if err != nil {
			t.Fatal(err)
		}
		endpoint := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: authority.Pool}
		addr, err := endpoint.Listen()
		if err != nil {
			t.Fatal(err)
		}
		if seed == "" {
			seed = addr.String()
		}
		table := &Table{
			Self:     wire.Member{Name: nameOf(i), Addr: addr.String()},
			Seeds:    []string{seed},
			Dialer:   endpoint,
			Interval: 20 * time.Millisecond,
			OnChange: func() {
				select {
				case changed <- struct{}{}:
				default:
				}
			},
		}
		endpoint.Handlers = table.Handlers()
		tables = append(tables, table)
		go func() { _ = endpoint.Run(ctx) }()
		go func() { _ = table.Run(ctx) }()
	}
	waitLive := func(what string, want int) {
		t.Helper()
		for _, table := range tables {
			for len(table.Live()) != want {
				select {
				case <-changed:
				case <-ctx.Done():
					t.Fatalf("%s: a table has %+v", what, table.Members())
				}
			}
		}
	}
	waitLive("after the start", 3)
	if err := tables[2].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	tables = tables[:2]
	waitLive("after a graceful shutdown", 2)
}
