package serve

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/certs"
	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/internal/emul/hosts"
	"github.com/figreel/figreel/internal/emul/kv"
	"github.com/figreel/figreel/internal/emul/lonet"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

const (
	tlsTimeout = 30 * time.Second
	// operatorDigest is the SHA-256 of "operator".
	operatorDigest = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
)

// TestTLS guards against servers that ignore the certificates in the settings, and against peer connections to hosts
// whose certificate comes from another authority. It uses real sockets on loopback.
func TestTLS(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), tlsTimeout)
	defer cancel()
	own, foreign := newAuthority(t), newAuthority(t)
	cfg := tlsConfig(t, own)
	host := &Host{Config: cfg, Log: zerolog.Nop()}
	ended := make(chan error, 1)
	running, stop := context.WithCancel(ctx)
	go func() { ended <- host.Run(running) }()

	for _, c := range []struct {
		name, addr, path, key string
		roots                 *x509.CertPool
		status                int // 0 for a failed connection
	}{
		{"caller", cfg.Callers.Listen, "/healthz", "", own.Pool, http.StatusOK},
		{"caller with another authority", cfg.Callers.Listen, "/healthz", "", foreign.Pool, 0},
		{"operator", cfg.Operators.Listen, "/v1/status", "operator", own.Pool, http.StatusOK},
		{"operator with a wrong key", cfg.Operators.Listen, "/v1/status", "wrong", own.Pool, http.StatusUnauthorized},
		{"operator with another authority", cfg.Operators.Listen, "/v1/status", "operator", foreign.Pool, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			waitForListener(ctx, t, c.addr)
			status, err := getTLS(ctx, "https://"+c.addr+c.path, c.key, c.roots)
			if status != c.status || (err != nil) != (c.status == 0) {
				t.Errorf("status %d, error %v, want status %d", status, err, c.status)
			}
			if status, _ := getTLS(ctx, "http://"+c.addr+c.path, c.key, c.roots); status == http.StatusOK {
				t.Error("plain HTTP gets a response")
			}
		})
	}
	for _, c := range []struct {
		name      string
		authority *certs.Authority
		trust     *x509.CertPool
		ok        bool
	}{
		{"peer of the same authority", own, own.Pool, true},
		{"peer of another authority that trusts this host", foreign, own.Pool, false},
		{"peer of another authority", foreign, foreign.Pool, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := pullDocument(ctx, t, cfg.Peers.Listen, c.authority, c.trust); (err == nil) != c.ok {
				t.Errorf("stream ended with %v, want success %t", err, c.ok)
			}
		})
	}
	stop()
	if err := <-ended; err != context.Canceled {
		t.Errorf("host ended with %v", err)
	}
}

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// tlsConfig writes certificates and settings to files and returns the settings as figreel serve reads them.
func tlsConfig(t *testing.T, a *certs.Authority) *config.Config {
	t.Helper()
	dir := t.TempDir()
	n, err := lonet.Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	if err := a.WriteFiles(dir, []string{"a"}, net.ParseIP(n.IP)); err != nil {
		t.Fatal(err)
	}
	kvServer, listServer := httptest.NewServer(new(kv.Store)), httptest.NewServer(new(hosts.Registry))
	t.Cleanup(kvServer.Close)
	t.Cleanup(listServer.Close)
	pair := "{cert_file: DIR/a.pem, key_file: DIR/a.key"
	text := strings.NewReplacer("PAIR", pair,
		"CALLERS", freeAddr(t, n), "OPERATORS", freeAddr(t, n), "PEERS", freeAddr(t, n),
		"KV", kvServer.URL, "LIST", listServer.URL, "DIGEST", operatorDigest).Replace(`
name: a
environment: trial
failure_domain: fd-1
callers: {listen: "CALLERS", public_url: "https://CALLERS", tls: PAIR}}
operators: {listen: "OPERATORS", key_sha256: [DIGEST], tls: PAIR}}
fellows: {listen: "PEERS", tls: PAIR, ca_file: DIR/ca.pem}}
platform: {kv_url: "KV", weights_url: "KV", hosts_url: "LIST"}
`)
	file := filepath.Join(dir, "host.yaml")
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(text, "DIR", dir)), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func freeAddr(t *testing.T, n *lonet.Net) string {
	t.Helper()
	addr, err := n.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func waitForListener(ctx context.Context, t *testing.T, addr string) {
	t.Helper()
	for ctx.Err() == nil {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("nothing listens on %s", addr)
}

func getTLS(ctx context.Context, url, key string, roots *x509.CertPool) (int, error) {
	c := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
	}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

// pullDocument requests the document from the host as a peer with a certificate of the given authority.
func pullDocument(ctx context.Context, t *testing.T, addr string, a *certs.Authority, trust *x509.CertPool) error {
	t.Helper()
	cert, err := a.IssueHost("b", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	n := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: trust, Stats: new(stats.Set)}
	if _, err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	var doc wire.Document
	return wire.Call(ctx, n, addr, wire.KindPull, wire.Pull{}, &doc)
}
