package main

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/kv"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
)

// TestServe guards against an emulator that does not respond over TCP or returns an error when it is stopped, and
// against a refused TCP connection that is reported as a request that may have been executed.
func TestServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	s := &server{kind: "kv", handler: new(kv.Store), stopTimeout: time.Second}
	go func() { stopped <- s.serve(ctx, l) }()
	c := &kvapi.Client{URL: "http://" + l.Addr().String()}
	if _, err := c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1")}); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Errorf("stopped emulator returned %v", err)
	}
	_, err = new(engine.Client).Generate(t.Context(), c.URL, engine.Call{})
	var se *engine.SendError
	if !errors.As(err, &se) || !se.NotExecuted {
		t.Errorf("refused TCP connection returned error %+v, want one that says not executed", err)
	}
}
