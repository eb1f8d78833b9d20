package qrpc

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const protocolName = "figreel/1"

// resetKey returns the key for QUIC stateless resets. It is derived from the host's private key, so that a restarted
// host can reset the connections of its previous process; otherwise its peers would have to wait for a timeout.
func resetKey(cert tls.Certificate) *quic.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("figreel stateless reset\x00"), der...)))
	return &key
}

func (e *Endpoint) serverTLS() *tls.Config {
	cfg := e.baseTLS(x509.ExtKeyUsageClientAuth)
	// VerifyConnection verifies the certificate instead of crypto/tls, so that a missing one is counted as well.
	cfg.ClientAuth = tls.RequestClientCert
	return cfg
}

func (e *Endpoint) clientTLS() *tls.Config {
	cfg := e.baseTLS(x509.ExtKeyUsageServerAuth)
	// Hosts are dialled by IP address, while their certificates contain host names, so there is no server name to
	// compare. VerifyConnection still verifies the certificate chain.
	cfg.InsecureSkipVerify = true
	return cfg
}

func (e *Endpoint) baseTLS(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{e.Cert},
		NextProtos:   []string{protocolName},
		// Post-quantum key exchange would add over 2 KB to each handshake, more than the traffic budget of a second.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			err := e.verify(state.PeerCertificates, usage)
			if err != nil {
				e.Stats.CountEvent(eventCertRefused)
			}
			return err
		},
	}
}

func (e *Endpoint) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         e.CA,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(err, "verify peer certificate")
	}
	if peerName(chain) == "" {
		return errors.New("peer certificate has no common name or DNS name")
	}
	return nil
}

// peerName returns the common name of the first certificate or, without one, its first DNS name.
func peerName(chain []*x509.Certificate) string {
	switch {
	case len(chain) == 0:
		return ""
	case chain[0].Subject.CommonName != "":
		return chain[0].Subject.CommonName
	case len(chain[0].DNSNames) > 0:
		return chain[0].DNSNames[0]
	default:
		return ""
	}
}
