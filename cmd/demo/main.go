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
		return errors.Wrap(err, "find the source folder")
	}
	dir, err := os.MkdirTemp("", "figreel-demo-")
	if err != nil {
		return errors.Wrap(err, "create a folder")
	}
	r := &local.Cluster{Dir: dir, Hosts: hosts, Engines: engines, Document: local.SmallDocument}
	fmt.Println("building and starting; logs are in", dir)
	if err := r.Start(ctx, source); err != nil {
		return err
	}
	defer r.Stop()
	out, err := r.Apply(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\n$ figreel apply %s\n%s", filepath.Base(r.DocumentFile()), out)
	if err := r.AwaitReady(ctx, "slots", "contracts", "slots-north"); err != nil {
		return err
	}
	return calls(ctx, r)
}

func calls(ctx context.Context, r *local.Cluster) error {
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
		call := func() (local.Response, error) { return r.Post(ctx, s.host, s.path, s.body, s.header) }
		if err := show(s.title, call); err != nil {
			return err
		}
	}
	if err := show("which hosts to use", func() (local.Response, error) {
		return r.Get(ctx, local.HostName(1), "/v1/hosts")
	}); err != nil {
		return err
	}
	fmt.Println("\nkilling", local.HostName(0))
	if err := r.Kill(local.HostName(0)); err != nil {
		return err
	}
	return show("a call through another host", func() (local.Response, error) {
		return r.Post(ctx, local.HostName(1), "/v1/chat/completions", chat, nil)
	})
}

func show(title string, call func() (local.Response, error)) error {
	a, err := call()
	if err != nil {
		return errors.Wrap(err, title)
	}
	fmt.Printf("\n== %s (status %d)\n%s\n", title, a.Status, strings.TrimSpace(string(a.Body)))
	if a.Status >= 400 {
		return errors.Errorf("%s: status %d", title, a.Status)
	}
	return nil
}
