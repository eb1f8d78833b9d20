package local

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a failed "figreel apply" without an error text, or without the answer of the last host.
func TestApplyError(t *testing.T) {
	for _, tt := range []struct {
		name, script string
		timeout      time.Duration
		want         []string
	}{
		{"interrupted", "exec sleep 60", time.Second, []string{"deadline exceeded"}},
		{"no time left", "exit 1", 0, []string{"deadline exceeded"}},
		{
			"rejected", "echo kv_unavailable; exit 1", time.Second,
			[]string{"deadline exceeded", "exit status 1", "kv_unavailable"},
		},
		{
			"rejected, then interrupted", "[ -e $0.1 ] && exec sleep 60; touch $0.1; echo kv_unavailable; exit 1",
			time.Second,
			[]string{"deadline exceeded", "exit status 1", "kv_unavailable"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := scriptCluster(t, tt.script)
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
			defer cancel()
			_, err := c.Apply(ctx)
			for _, want := range tt.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("error %v, want one with %s", err, want)
				}
			}
		})
	}
}

// scriptCluster returns a cluster of one host whose figreel program is a shell script.
func scriptCluster(t *testing.T, script string) *Cluster {
	t.Helper()
	c := &Cluster{Dir: t.TempDir(), Hosts: 1}
	c.prepare()
	must(t, os.WriteFile(c.Program("figreel"), []byte("#!/bin/sh\n"+script+"\n"), dirMode))
	return c
}
