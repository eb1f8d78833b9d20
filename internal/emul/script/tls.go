package script

import (
	"crypto/tls"
	"encoding/pem"
	"net/http/httptest"
)

// TLS returns the settings of a server with TLS, and in PEM the certificate that its clients have to trust.
func TLS() (config *tls.Config, ca []byte) {
	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	defer s.Close()
	ca = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	config = s.TLS.Clone()
	config.NextProtos = []string{"http/1.1"}
	return config, ca
}
