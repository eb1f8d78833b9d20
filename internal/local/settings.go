package local

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/figreel/figreel/internal/config"
)

const (
	// CallerKey is the bearer key of the rig's caller.
	CallerKey = "demo-caller-key"
	// OperatorKey is the bearer key of the rig's operator.
	OperatorKey = "demo-operator-key"
	// Environment is the rig's environment.
	Environment = "production"

	domains = 3
)

// KeyDigest returns the form of a key that documents and settings hold.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DocumentFile is where the rig's document is written.
func (r *Cluster) DocumentFile() string { return filepath.Join(r.Dir, "environment.yaml") }

// Program returns the path of a built program.
func (r *Cluster) Program(name string) string { return filepath.Join(r.Dir, name) }

// FailureDomain returns the failure domain of the process with index i of its kind.
func FailureDomain(i int) string { return fmt.Sprintf("domain-%d", i%domains+1) }

func (r *Cluster) settingsFile(i int) string {
	return filepath.Join(r.Dir, HostName(i)+".yaml")
}

func (r *Cluster) settings() error {
	var seeds []string
	for i := range r.Hosts {
		seeds = append(seeds, r.addr(HostName(i)+"-fellow"))
	}
	for i := range r.Hosts {
		b, err := yaml.Marshal(r.host(i, seeds))
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(r.settingsFile(i), b, fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return errors.Wrap(os.WriteFile(r.DocumentFile(), []byte(r.Document(r)), fileMode), "write document")
}

func (r *Cluster) host(i int, seeds []string) config.Config {
	name := HostName(i)
	return config.Config{
		Name: name, Environment: Environment, FailureDomain: FailureDomain(i),
		Callers:   config.Callers{Listen: r.addr(name), PublicURL: r.URL(name)},
		Operators: config.Operators{Listen: r.addr(name + "-op"), KeySHA256: []string{KeyDigest(OperatorKey)}},
		Peers: config.Peers{
			Listen: r.addr(name + "-fellow"), Advertise: r.addr(name + "-fellow"), Seeds: seeds,
			TLS: config.TLS{
				CertFile: filepath.Join(r.Dir, name+".pem"), KeyFile: filepath.Join(r.Dir, name+".key"),
				CAFile: filepath.Join(r.Dir, "ca.pem"),
			},
		},
		Platform: config.Platform{KVURL: r.URL("kv"), WeightsURL: r.URL("weights"), HostsURL: r.URL("list")},
		Limits:   config.Limits{MaxBodyBytes: 1 << 20, MaxCalls: 1000, KVWritesPerS: 500},
		LogLevel: "info",
	}
}

// SmallDocument describes one pool over all engines with two models and an adapter, and one plain service.
func SmallDocument(r *Cluster) string {
	var b strings.Builder
	fmt.Fprintf(&b, `environment: %s
weight_store: {loads_per_s: 10, at_once: 6, adapters_in_transit: 50}
once: {retention_s: 86400}
classes:
  - {name: quick, priority: 1, first_token_ms: 2000, per_token_ms: 100, total_ms: 60000, expected_tokens: 32}
  - {name: draft, priority: 2, first_token_ms: 10000, per_token_ms: 200, total_ms: 300000, deferrable: true,
     expected_tokens: 400}
callers:
  - {name: branch, key_sha256: %s, failure_domain: domain-1, share: 1}
models:
  - {name: slots, version: "1", pool: assistant, memory_mb: 16000, min_copies: 2, class: quick}
  - {name: contracts, version: "1", pool: assistant, memory_mb: 24000, min_copies: 2, class: draft}
adapters:
  - {name: slots-north, version: "1", model: slots, memory_mb: 200, min_copies: 1, class: quick}
pools:
  - name: assistant
    order_horizon_s: 20
    engines:
`, Environment, KeyDigest(CallerKey))
	for i := range r.Engines {
		fmt.Fprintf(&b, "      - {name: %s, url: %q, failure_domain: %s, accelerators: 1, memory_mb: %d,\n"+
			"         kv_reserve_mb: %d, max_seqs: 16, checks_fencing: %t}\n",
			EngineName(i), r.URL(EngineName(i)), FailureDomain(i), r.EngineMB, r.ReserveMB, checksFencing(i))
	}
	b.WriteString(`services:
  - name: deposits
    class: quick
    not_repeatable: true
    timeout_ms: 10000
    upstreams:
`)
	for i, name := range desks {
		fmt.Fprintf(&b, "      - {name: %s, url: %q, failure_domain: %s}\n", name, r.URL(name), FailureDomain(i))
	}
	return b.String()
}
