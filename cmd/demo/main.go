package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/local"
)

const (
	hosts   = 3
	engines = 4
	timeout = 3 * time.Minute
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	source, err := os.Getwd()
	if err != nil {
		return errors.Wrap(err, "get working directory")
	}
	dir, err := os.MkdirTemp("", "figreel-demo-")
	if err != nil {
		return errors.Wrap(err, "create temporary folder")
	}
	c := &local.Cluster{Dir: dir, Hosts: hosts, Engines: engines, Document: local.SmallDocument}
	fmt.Println("building and starting; logs are in", dir)
	if err := c.Start(ctx, source); err != nil {
		return err
	}
	defer c.Stop()
	ctx, cancel := c.Watch(ctx)
	defer cancel()
	out, err := c.Apply(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\n$ figreel apply %s\n%s", filepath.Base(c.DocumentFile()), out)
	if err := c.AwaitReady(ctx, "slots", "contracts", "slots-north"); err != nil {
		return err
	}
	return sendCalls(ctx, c)
}

func sendCalls(ctx context.Context, c *local.Cluster) error {
	chat := `{"model":"slots","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Is Friday free?"}]}`
	steps := []struct {
		title, host, path, body string
		header                  map[string]string
	}{
		{title: "a streamed answer", host: local.HostName(0), path: "/v1/chat/completions", body: chat},
		{
			title: "a plain service, at most once", host: local.HostName(1), path: "/svc/deposits/charge",
			body: `{"amount":50}`, header: map[string]string{"Idempotency-Key": "deposit-1"},
		},
		{
			title: "the same key through another host", host: local.HostName(2), path: "/svc/deposits/charge",
			body: `{"amount":50}`, header: map[string]string{"Idempotency-Key": "deposit-1"},
		},
	}
	for _, s := range steps {
		call := func() (local.Response, error) { return c.Post(ctx, s.host, s.path, s.body, s.header) }
		if err := printCall(s.title, call); err != nil {
			return err
		}
	}
	if err := printCall("which hosts to use", func() (local.Response, error) {
		return c.Get(ctx, local.HostName(1), "/v1/hosts")
	}); err != nil {
		return err
	}
	fmt.Println("\nkilling", local.HostName(0))
	if err := c.Kill(local.HostName(0)); err != nil {
		return err
	}
	return printCall("a call through another host", func() (local.Response, error) {
		return c.Post(ctx, local.HostName(1), "/v1/chat/completions", chat, nil)
	})
}

// printCall executes a call and prints its response; a status of 400 or more is an error.
func printCall(title string, call func() (local.Response, error)) error {
	resp, err := call()
	if err != nil {
		return errors.Wrap(err, title)
	}
	fmt.Printf("\n== %s (status %d)\n%s\n", title, resp.Status, strings.TrimSpace(string(resp.Body)))
	if resp.Status >= 400 {
		return errors.Errorf("%s: status %d", title, resp.Status)
	}
	return nil
}
