package config

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/find"
)

// Checks decoded settings and records findings.
type checker struct {
	*strict.Decoded
	cfg *Config
}

// Default returns the settings that Load gives to absent fields; fields without a default are empty.
func Default() Config {
	return strict.Default[Config]()
}

// Load reads, decodes and checks a settings file; findings are returned together as a *find.List.
func Load(file string) (*Config, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, body)
}

// Parse is Load for settings that are already read; file names them in findings.
func Parse(file string, body []byte) (*Config, error) {
	list := &find.List{File: file}
	cfg := Default()
	decoded := strict.Decode(list, body, &cfg)
	if decoded == nil {
		return nil, list.Err()
	}
	if cfg.Peers.Advertise == "" {
		cfg.Peers.Advertise = cfg.Peers.Listen
	}
	c := checker{Decoded: decoded, cfg: &cfg}
	c.check()
	if err := list.Err(); err != nil {
		return nil, err
	}
	return &cfg, nil
}

func (c *checker) check() {
	cfg := c.cfg
	c.CheckName("name", cfg.Name)
	c.CheckName("environment", cfg.Environment)
	c.CheckName("failure_domain", cfg.FailureDomain)
	c.checkCallers(cfg.Callers)
	c.checkOperators(cfg.Operators)
	c.checkPeers(cfg.Peers)
	c.CheckURL("platform.kv_url", cfg.Platform.KVURL)
	c.CheckURL("platform.weights_url", cfg.Platform.WeightsURL)
	c.CheckURL("platform.hosts_url", cfg.Platform.HostsURL)
	c.CheckMin("limits.max_body_bytes", cfg.Limits.MaxBodyBytes, 1)
	c.CheckMin("limits.memory_mb", cfg.Limits.MemoryMB, 1)
	c.CheckMin("limits.max_calls", int64(cfg.Limits.MaxCalls), 1)
	c.CheckMin("limits.kv_writes_per_s", int64(cfg.Limits.KVWritesPerS), 1)
	c.CheckMin("stop_timeout_s", int64(cfg.StopTimeoutS), 0)
	c.checkLogLevel("log_level", cfg.LogLevel)
}

func (c *checker) checkCallers(callers Callers) {
	c.checkAddress("callers.listen", callers.Listen)
	c.CheckURL("callers.public_url", callers.PublicURL)
	c.checkOptionalTLS("callers.tls", callers.TLS)
}

func (c *checker) checkOperators(o Operators) {
	c.checkOptionalTLS("operators.tls", o.TLS)
	for i, key := range o.KeySHA256 {
		c.CheckDigest(fmt.Sprintf("operators.key_sha256[%d]", i), key)
	}
	if o.Listen == "" {
		return
	}
	c.checkAddress("operators.listen", o.Listen)
	if len(o.KeySHA256) == 0 {
		c.AddFinding("operators.key_sha256", "is required where operators.listen is set")
	}
}

func (c *checker) checkPeers(p Peers) {
	c.checkAddress("fellows.listen", p.Listen)
	if p.Advertise != p.Listen {
		c.checkAddress("fellows.advertise", p.Advertise)
	}
	c.checkAdvertised("fellows.advertise", p.Advertise)
	for i, seed := range p.Seeds {
		c.checkAddress(fmt.Sprintf("fellows.seeds[%d]", i), seed)
	}
	c.checkFile("fellows.tls.cert_file", p.TLS.CertFile)
	c.checkFile("fellows.tls.key_file", p.TLS.KeyFile)
	c.checkFile("fellows.tls.ca_file", p.TLS.CAFile)
}

// Checks TLS files that may be left out altogether, to serve plain HTTP.
func (c *checker) checkOptionalTLS(path string, t TLS) {
	if t == (TLS{}) {
		return
	}
	c.checkFile(path+".cert_file", t.CertFile)
	c.checkFile(path+".key_file", t.KeyFile)
	if t.CAFile != "" {
		c.checkFile(path+".ca_file", t.CAFile)
	}
}

func (c *checker) checkAddress(path, v string) {
	if v == "" {
		c.AddFinding(path, "is required")
		return
	}
	_, port, err := net.SplitHostPort(v)
	if err != nil {
		c.AddFinding(path, "%q is not an address such as 127.0.0.1:7000", v)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.AddFinding(path, "%q has no port between 0 and 65535", v)
	}
}

// Rejects an address without a host or with an unspecified one such as 0.0.0.0, to which other hosts cannot connect.
func (c *checker) checkAdvertised(path, v string) {
	host, _, err := net.SplitHostPort(v)
	if ip := net.ParseIP(host); err == nil && (host == "" || ip.IsUnspecified()) {
		c.AddFinding(path, "%q does not tell other hosts where to connect", v)
	}
}

func (c *checker) checkFile(path, v string) {
	if v == "" {
		c.AddFinding(path, "is required")
	} else if _, err := os.Stat(v); err != nil {
		c.AddFinding(path, "%s", err)
	}
}

func (c *checker) checkLogLevel(path, v string) {
	level, err := zerolog.ParseLevel(v)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		c.AddFinding(path, "%q is not debug, info, warn or error", v)
	}
}
