package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against certificate files that a host cannot load, and certificates that do not verify for both client and
// server authentication.
func TestWrittenFilesVerify(t *testing.T) {
	a, err := NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := a.WriteFiles(dir, []string{"host-1"}); err != nil {
		t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "host-1.pem"), filepath.Join(dir, "host-1.key"))
	if err != nil {
		t.Fatal(err)
	}
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca)
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		opts := x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := cert.Leaf.Verify(opts); err != nil {
			t.Errorf("usage %v: %v", usage, err)
		}
	}
	if cert.Leaf.Subject.CommonName != "host-1" {
		t.Errorf("common name %q", cert.Leaf.Subject.CommonName)
	}
}
