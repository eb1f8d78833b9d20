package local

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/crowd"
)

const (
	// crowdMemoryMB is the memory in the settings of the host, and crowdDescriptors the limit of its process.
	crowdMemoryMB, crowdDescriptors = 128, 600
	// crowdClients is the number of clients at each of the two ports.
	crowdClients = 500
	crowdTime    = 1500 * time.Millisecond
	// crowdPatience bounds the time until an ordinary request is answered after the crowd has left.
	crowdPatience = 10 * time.Second
)

// Guards against clients that end a host of figreel serve, exhaust its memory or its descriptors, or keep it from
// answering afterwards.
func TestCrowd(t *testing.T) {
	c := startCrowdCluster(t)
	for _, tt := range crowd.Cases() {
		t.Run(tt.Name, func(t *testing.T) { checkCrowd(t, c, tt) })
	}
	t.Run("all", func(t *testing.T) { checkCrowd(t, c, crowd.Cases()...) })
}

// startCrowdCluster starts a cluster whose only host has less memory and fewer descriptors than usual.
func startCrowdCluster(t *testing.T) *Cluster {
	t.Helper()
	c := &Cluster{Dir: t.TempDir(), Hosts: 1, Engines: 2, Document: SmallDocument}
	must(t, c.Start(t.Context(), "../.."))
	t.Cleanup(c.Stop)
	must(t, c.Kill(HostName(0)))
	text, err := os.ReadFile(c.settingsFile(0))
	must(t, err)
	limited := strings.Replace(string(text), "memory_mb: 1024", fmt.Sprint("memory_mb: ", crowdMemoryMB), 1)
	if limited == string(text) {
		t.Fatal("the settings state no memory")
	}
	must(t, os.WriteFile(c.settingsFile(0), []byte(limited), fileMode))
	program := c.Program("figreel")
	must(t, os.Rename(program, program+"-bin"))
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s-bin \"$@\"\n", crowdDescriptors, program)
	must(t, os.WriteFile(program, []byte(script), dirMode))
	must(t, c.Restart(HostName(0)))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = c.Apply(ctx)
	must(t, err)
	must(t, c.AwaitReady(ctx, "slots"))
	return c
}

// checkCrowd lets a crowd reach a host that has just started, and checks what it uses, that it lives and that it
// answers afterwards.
func checkCrowd(t *testing.T, c *Cluster, cases ...crowd.Case) {
	must(t, c.Kill(HostName(0)))
	must(t, c.Restart(HostName(0)))
	ready, cancelReady := context.WithTimeout(t.Context(), time.Minute)
	defer cancelReady()
	must(t, c.waitUntil(ready, func() bool { return answers(ready, c) == nil }))
	post := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" }
	ports := []crowd.Port{
		{Addr: c.addr(HostName(0)), Request: post("/v1/completions") + "Authorization: " + callerAuth + "\r\n"},
		{Addr: c.addr(HostName(0) + "-op"), Request: post("/v1/check")},
	}
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		crowd.Run(ctx, ports, crowdClients, cases...)
	}()
	used, err := crowd.Measure(ctx, c.PID(HostName(0)))
	<-done
	must(t, err)
	start := time.Now()
	patience, cancelPatience := context.WithTimeout(t.Context(), crowdPatience)
	defer cancelPatience()
	if c.waitUntil(patience, func() bool { err = answers(patience, c); return err == nil }) != nil {
		t.Errorf("the host does not answer: %s", err)
	}
	t.Logf("%.0f MB, %d descriptors, answered after %s", used.PeakMB, used.Descriptors,
		time.Since(start).Round(time.Millisecond))
	if used.PeakMB >= crowdMemoryMB {
		t.Errorf("the host used %.0f MB, the settings allow %d", used.PeakMB, crowdMemoryMB)
	}
	if used.Descriptors > crowdDescriptors {
		t.Errorf("the host had %d open descriptors, its limit is %d", used.Descriptors, crowdDescriptors)
	}
	if err := c.exited()[HostName(0)]; err != nil {
		t.Error(err)
	}
}

// answers returns why an ordinary request to one of the ports is not answered, or nil.
func answers(ctx context.Context, c *Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	body := `{"model":"slots","prompt":"still there?","max_tokens":2}`
	resp, err := c.Post(ctx, HostName(0), "/v1/completions", body, nil)
	if err == nil && resp.Status != http.StatusOK {
		err = fmt.Errorf("status %d", resp.Status)
	}
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodGet, c.URL(HostName(0)+"-op")+"/v1/status", "", nil)
	return err
}
