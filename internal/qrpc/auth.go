package qrpc

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const protocolName = "figreel/1"

// resetKey is derived from the host's private key, so that a restarted host resets connections of its predecessor at
// once instead of leaving its peers to time out.
func resetKey(cert tls.Certificate) *quic.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("figreel stateless reset\x00"), der...)))
	return &key
}

func (n *Endpoint) serverTLS() *tls.Config {
	cfg := n.baseTLS(x509.ExtKeyUsageClientAuth)
	// Verification is left to VerifyConnection, so that missing certificates are counted as well.
	cfg.ClientAuth = tls.RequestClientCert
	return cfg
}

func (n *Endpoint) clientTLS() *tls.Config {
	cfg := n.baseTLS(x509.ExtKeyUsageServerAuth)
	// Hosts are dialled by IP address and named by their certificate, so there is no server name to compare;
	// VerifyConnection checks the chain.
	cfg.InsecureSkipVerify = true
	return cfg
}

func (n *Endpoint) baseTLS(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{n.Cert},
		NextProtos:   []string{protocolName},
		// The post-quantum exchange would add over 2 KB to each handshake, more than the traffic budget of a second.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			err := n.verify(state.PeerCertificates, usage)
			if err != nil {
				n.Stats.CountEvent(eventCertRefused)
			}
			return err
		},
	}
}

func (n *Endpoint) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         n.CA,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(err, "verify certificate of peer")
	}
	if peerName(chain) == "" {
		return errors.New("certificate of peer names no host")
	}
	return nil
}

// peerName is the common name of the first certificate, or else its first DNS name.
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
