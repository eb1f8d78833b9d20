package main

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
)

// TestWriteCerts guards against certificates that a host cannot load, and against overwriting existing ones.
func TestWriteCerts(t *testing.T) {
	for _, tt := range []struct {
		name       string
		hosts, ips []string
		days       int
		ok         bool
	}{
		{"three hosts", []string{"a", "b", "c"}, []string{"127.0.0.1", "::1"}, 1, true},
		{"no address", []string{"a"}, nil, 1, true},
		{"a host name as address", []string{"a"}, []string{"localhost"}, 1, false},
		{"a path", []string{"../a"}, nil, 1, false},
		{"a name twice", []string{"a", "a"}, nil, 1, false},
		{"the name of the authority's file", []string{"ca"}, nil, 1, false},
		{"no validity", []string{"a"}, nil, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "new")
			if err := writeCerts(dir, tt.hosts, tt.ips, tt.days); (err == nil) != tt.ok {
				t.Fatalf("error is %v, want success %t", err, tt.ok)
			}
			if !tt.ok {
				if files, _ := os.ReadDir(dir); len(files) != 0 {
					t.Errorf("a rejected command wrote %v", files)
				}
				return
			}
			for _, host := range tt.hosts {
				file := filepath.Join(dir, host)
				if _, err := tls.LoadX509KeyPair(file+".pem", file+".key"); err != nil {
					t.Errorf("host %s: %v", host, err)
				}
			}
			if err := writeCerts(dir, tt.hosts, tt.ips, tt.days); err == nil {
				t.Error("existing certificates were overwritten")
			}
		})
	}
}
