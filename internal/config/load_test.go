package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/figreel/figreel/internal/config"
)

const base = `name: host-1
environment: trial
failure_domain: fd-1
callers: {listen: "127.0.0.1:8080", public_url: "http://127.0.0.1:8080"}
operators: {listen: "127.0.0.1:8081", key_sha256: [DIGEST]}
fellows:
  listen: 127.0.0.1:7000
  seeds: ["127.0.0.1:7001"]
  tls: {cert_file: FILE, key_file: FILE, ca_file: FILE}
platform: {kv_url: "http://127.0.0.1:1", weights_url: "http://127.0.0.1:2", hosts_url: "http://127.0.0.1:3"}
limits: {max_calls: 5}
`

// Guards against accepting invalid settings, and against findings with a wrong line or field.
func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.yaml")
	for _, tt := range []struct{ old, replacement, want string }{
		{"", "", ""},
		{"name: host-1\n", "", ":0: name: is required"},
		{"trial", "a b", `:2: environment: "a b" is not a name`},
		{"trial", "trial\nzone: x", ":3: zone: unknown field"},
		{`"127.0.0.1:8080"`, "8080", `:4: callers.listen: "8080" is not an address`},
		{"http://127.0.0.1:8080", "ftp://x", `:4: callers.public_url: "ftp://x" is not an http`},
		{"[DIGEST]", "[]", ":5: operators.key_sha256: is required"},
		{"DIGEST", "secret", ":5: operators.key_sha256[0]: must be a SHA-256 digest"},
		{"127.0.0.1:7000", "0.0.0.0:7000", `:6: fellows.advertise: "0.0.0.0:7000" does not tell`},
		{"127.0.0.1:7001", "127.0.0.1:x", `:8: fellows.seeds[0]: "127.0.0.1:x" has no port`},
		{"ca_file: FILE", "ca_file: /none", ":9: fellows.tls.ca_file: stat /none"},
		{", ca_file: FILE", "", ":9: fellows.tls.ca_file: is required"},
		{"max_calls: 5", "max_calls: 0", ":11: limits.max_calls: must be at least 1, is 0"},
		{"max_calls: 5", "max_calls: 5s", ":11: limits.max_calls: must be a whole number"},
		{"limits:", "log_level: loud\nlimits:", `:11: log_level: "loud" is not debug`},
	} {
		body := strings.Replace(base, tt.old, tt.replacement, 1)
		body = strings.NewReplacer("FILE", file, "DIGEST", strings.Repeat("a", 64)).Replace(body)
		if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Load(file)
		if tt.want == "" {
			if err != nil || cfg.Limits.KVWritesPerS != 20 || cfg.Peers.Advertise != "127.0.0.1:7000" {
				t.Errorf("settings %+v, %v", cfg, err)
			}
			continue
		}
		if err == nil || !strings.HasPrefix(err.Error(), file+tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: findings\n%v\nwant only %s", tt.old, tt.replacement, err, tt.want)
		}
	}
}

// Guards against an example in the operators' page that is rejected, and defaults that differ from those of the page.
func TestDocumentedSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```yaml\n# host.yaml\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("the page has no example of host.yaml")
	}
	dir := t.TempDir()
	for _, name := range []string{"host-1.pem", "host-1.key", "ca.pem"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	example = strings.NewReplacer("certs/", dir+"/", "REPLACE_WITH_THE_DIGEST", strings.Repeat("a", 64)).Replace(example)
	if _, err := config.Parse("host.yaml", []byte(example)); err != nil {
		t.Error(err)
	}
	cfg := config.Default()
	for _, tt := range []struct {
		field string
		value any
	}{
		{"limits.max_body_bytes", cfg.Limits.MaxBodyBytes},
		{"limits.max_calls", cfg.Limits.MaxCalls},
		{"limits.memory_mb", cfg.Limits.MemoryMB},
		{"limits.kv_writes_per_s", cfg.Limits.KVWritesPerS},
		{"stop_timeout_s", cfg.StopTimeoutS},
		{"log_level", cfg.LogLevel},
	} {
		row := regexp.MustCompile(fmt.Sprintf("(?m)^\\| `%s` \\| %v[ ,]", regexp.QuoteMeta(tt.field), tt.value))
		if !row.Match(page) {
			t.Errorf("the page does not state %v as the default of %s", tt.value, tt.field)
		}
	}
}
