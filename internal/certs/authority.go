package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// backdate is how long before their creation certificates become valid, because the clock of a host may be behind
	// that of the issuing host.
	backdate   = time.Hour
	serialBits = 128

	certMode os.FileMode = 0o644
	keyMode  os.FileMode = 0o600
)

// Authority is a certificate authority; its private key is kept only in memory.
type Authority struct {
	Pool *x509.CertPool

	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	notAfter time.Time
}

// NewAuthority creates an authority whose certificate expires after the given validity.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	tmpl, err := template("figreel test authority", validity)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{Pool: pool, cert: cert, key: key, notAfter: tmpl.NotAfter}, nil
}

// IssueHost issues a certificate for a host name and IP addresses, valid for both client and server authentication.
func (a *Authority) IssueHost(name string, ips ...net.IP) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generate key of host %q", name)
	}
	tmpl, err := template(name, time.Until(a.notAfter))
	if err != nil {
		return tls.Certificate{}, err
	}
	tmpl.DNSNames = []string{name}
	tmpl.IPAddresses = ips
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "sign certificate of host %q", name)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "parse certificate of host %q", name)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, nil
}

// WriteFiles writes ca.pem and, for each name, NAME.pem and NAME.key into dir.
func (a *Authority) WriteFiles(dir string, names []string, ips ...net.IP) error {
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw, certMode); err != nil {
		return err
	}
	for _, name := range names {
		cert, err := a.IssueHost(name, ips...)
		if err != nil {
			return err
		}
		if err := writeHostFiles(dir, name, cert); err != nil {
			return err
		}
	}
	return nil
}

func writeHostFiles(dir, name string, cert tls.Certificate) error {
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return errors.Wrapf(err, "encode key of host %q", name)
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", cert.Certificate[0], certMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+".key"), "PRIVATE KEY", key, keyMode)
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errors.Wrap(os.WriteFile(path, b, mode), "write PEM file")
}

func template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}
