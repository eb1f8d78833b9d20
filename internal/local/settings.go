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
	// CallerKey is the bearer key of the only caller in SmallDocument.
	CallerKey = "demo-caller-key"
	// OperatorKey is the bearer key of the operator.
	OperatorKey = "demo-operator-key"
	// Environment is the name of the environment that the hosts serve.
	Environment = "production"

	failureDomains = 3
)

// KeyDigest returns the SHA-256 of a key in hexadecimal, as documents and settings hold it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DocumentFile returns the path of the environment's document.
func (c *Cluster) DocumentFile() string { return filepath.Join(c.Dir, "environment.yaml") }

// Program returns the path of a program that Start has built.
func (c *Cluster) Program(name string) string { return filepath.Join(c.Dir, name) }

// FailureDomain returns the failure domain of the host, engine or service upstream with index i.
func FailureDomain(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains+1) }

func (c *Cluster) settingsFile(i int) string {
	return filepath.Join(c.Dir, HostName(i)+".yaml")
}

func (c *Cluster) writeSettings() error {
	var seeds []string
	for i := range c.Hosts {
		seeds = append(seeds, c.addr(HostName(i)+"-fellow"))
	}
	for i := range c.Hosts {
		b, err := yaml.Marshal(c.hostSettings(i, seeds))
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(c.settingsFile(i), b, fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return errors.Wrap(os.WriteFile(c.DocumentFile(), []byte(c.Document(c)), fileMode), "write document")
}

func (c *Cluster) hostSettings(i int, seeds []string) config.Config {
	name := HostName(i)
	cfg := config.Default()
	cfg.Name, cfg.Environment, cfg.FailureDomain = name, Environment, FailureDomain(i)
	cfg.Callers = config.Callers{Listen: c.addr(name), PublicURL: c.URL(name)}
	cfg.Operators = config.Operators{Listen: c.addr(name + "-op"), KeySHA256: []string{KeyDigest(OperatorKey)}}
	cfg.Peers = config.Peers{
		Listen: c.addr(name + "-fellow"), Advertise: c.addr(name + "-fellow"), Seeds: seeds,
		TLS: config.TLS{
			CertFile: filepath.Join(c.Dir, name+".pem"), KeyFile: filepath.Join(c.Dir, name+".key"),
			CAFile: filepath.Join(c.Dir, "ca.pem"),
		},
	}
	cfg.Platform = config.Platform{KVURL: c.URL("kv"), WeightsURL: c.URL("weights"), HostsURL: c.URL("list")}
	cfg.Limits.MaxBodyBytes, cfg.Limits.MaxCalls, cfg.Limits.KVWritesPerS = 1<<20, 1000, 500
	return cfg
}

// SmallDocument returns a document with one pool of all engines, two models, an adapter and a plain service whose
// requests are not idempotent.
func SmallDocument(c *Cluster) string {
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
	for i := range c.Engines {
		fmt.Fprintf(&b, "      - {name: %s, url: %q, failure_domain: %s, accelerators: 1, memory_mb: %d,\n"+
			"         kv_reserve_mb: %d, max_seqs: 16, checks_fencing: %t}\n",
			EngineName(i), c.URL(EngineName(i)), FailureDomain(i), c.EngineMB, c.ReserveMB, checksFencing(i))
	}
	b.WriteString(`services:
  - name: deposits
    class: quick
    not_repeatable: true
    timeout_ms: 10000
    upstreams:
`)
	for i, name := range serviceUpstreams {
		fmt.Fprintf(&b, "      - {name: %s, url: %q, failure_domain: %s}\n", name, c.URL(name), FailureDomain(i))
	}
	return b.String()
}
