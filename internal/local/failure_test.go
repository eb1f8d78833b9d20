package local

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failureTimeout is the time in which the failure of a process must be reported.
const failureTimeout = 5 * time.Second

// Guards against a cluster that waits for a host which has ended, and against an error that does not say why it ended.
func TestHostFailsAtStart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	source, err := filepath.Abs("../..")
	must(t, err)
	c := &Cluster{Dir: t.TempDir(), Hosts: 3, Engines: 2, Document: SmallDocument}
	must(t, c.setUp(t.Context(), source))
	broken := c.settingsFile(1)
	body, err := os.ReadFile(broken)
	must(t, err)
	must(t, os.WriteFile(broken, []byte(strings.Replace(string(body), "max_calls: 1000", "max_calls: 0", 1)), fileMode))
	line := strings.Count(strings.Split(string(body), "max_calls")[0], "\n") + 1

	began := time.Now()
	must(t, c.startAll())
	t.Cleanup(c.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 4*failureTimeout)
	defer cancel()
	if _, err = c.Apply(ctx); err == nil {
		err = c.AwaitReady(ctx, "slots")
	}
	if elapsed := time.Since(began); elapsed > failureTimeout {
		t.Errorf("the failure was reported after %s", elapsed)
	}
	for _, want := range []string{
		"host-2 has ended: exit status 2",
		fmt.Sprintf("%s:%d: limits.max_calls: must be at least 1, is 0", broken, line),
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %s", err, want)
		}
	}
}

// Guards against a failure that is not reported with its cause, and against the report of a process that the cluster
// has stopped itself.
func TestWatch(t *testing.T) {
	kill := func(c *Cluster) { must(t, c.Kill(HostName(0))) }
	terminate := func(c *Cluster) { must(t, c.Signal(HostName(0), syscall.SIGTERM)) }
	for _, tt := range []struct {
		name, script string
		stop         func(*Cluster)
		want         string // exit status and log of the failure; LOG is the path of the log
	}{
		{"error", "echo first; echo last >&2; exit 3", nil, "exit status 3; the last lines of LOG:\nfirst\nlast"},
		{"no error", "exit 0", nil, "exit status 0; the last lines of LOG:\n"},
		{"signal", "echo up; kill -9 $$", nil, "signal: killed; the last lines of LOG:\nup"},
		{
			"long log", "seq 2001 2020; exit 1", nil, "exit status 1; the last lines of LOG:\n" +
				"2011\n2012\n2013\n2014\n2015\n2016\n2017\n2018\n2019\n2020",
		},
		{"killed by the cluster", "exec sleep 60", kill, ""},
		{"terminated by the cluster", "exec sleep 60", terminate, ""},
		{"stopped by the cluster", "exec sleep 60", (*Cluster).Stop, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := scriptCluster(t, tt.script)
			ctx, cancel := c.Watch(t.Context())
			defer cancel()
			must(t, c.Restart(HostName(0)))
			t.Cleanup(c.Stop)
			if tt.stop != nil {
				tt.stop(c)
			}
			waitCtx, stopWait := context.WithTimeout(t.Context(), failureTimeout)
			defer stopWait()
			if err := c.Wait(waitCtx, HostName(0)); waitCtx.Err() != nil {
				t.Fatal(err)
			}
			if tt.want == "" {
				must(t, context.Cause(c.running))
				return
			}
			select {
			case <-ctx.Done():
			case <-waitCtx.Done():
			}
			want := "host-1 has ended: " + strings.ReplaceAll(tt.want, "LOG", filepath.Join(c.Dir, "host-1.log"))
			if err := context.Cause(ctx); err == nil || err.Error() != want {
				t.Errorf("cause %v, want %s", err, want)
			}
		})
	}
}

// Guards against a failed "figreel apply" without an error text or the answer of the last host, and against repeated
// attempts with a document that no host accepts.
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
		{
			"invalid document", "echo environment.yaml:3: is wrong; exit 2", time.Minute,
			[]string{"exit status 2", "environment.yaml:3: is wrong"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := scriptCluster(t, tt.script)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
			defer cancel()
			_, err := c.Apply(ctx)
			if elapsed := time.Since(began); elapsed > failureTimeout {
				t.Errorf("the error was returned after %s", elapsed)
			}
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
