package local

import (
	"os"
	"testing"

	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/pkg/envdoc"
)

// Guards against settings and a document that the hosts of a cluster reject at their start.
func TestWriteSettings(t *testing.T) {
	c := &Cluster{Dir: t.TempDir(), Hosts: 3, Engines: 4, Document: SmallDocument}
	c.prepare()
	must(t, c.reservePorts())
	must(t, c.writeCertificates())
	must(t, c.writeSettings())
	for i := range c.Hosts {
		if _, err := config.Load(c.settingsFile(i)); err != nil {
			t.Error(err)
		}
	}
	body, err := os.ReadFile(c.DocumentFile())
	must(t, err)
	if _, err := envdoc.Parse(c.DocumentFile(), body); err != nil {
		t.Error(err)
	}
}

// Guards against a process that cannot start again because a connection has taken its port meanwhile.
func TestPortsOfProcesses(t *testing.T) {
	c := &Cluster{Dir: t.TempDir(), Hosts: 3, Engines: 4, Document: SmallDocument}
	c.prepare()
	must(t, c.reservePorts())
	seen := make(map[int]string)
	for name, port := range c.ports {
		if port < minPort || port >= endPort || seen[port] != "" {
			t.Errorf("%s has the port %d, which also %q may use", name, port, seen[port])
		}
		seen[port] = name
	}
}
