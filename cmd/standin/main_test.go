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

// TestServe guards against a stand-in that does not answer over TCP or fails when it is stopped, and against a refused
// TCP connection that passes for a request that may have run.
func TestServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	s := &server{name: "kv", handler: new(kv.Store), stopTimeout: time.Second}
	go func() { ended <- s.serve(ctx, l) }()
	c := &kvapi.Client{URL: "http://" + l.Addr().String()}
	if _, err := c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1")}); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("stopped stand-in returned %v", err)
	}
	_, err = new(engine.Client).Generate(t.Context(), c.URL, engine.Call{})
	var se *engine.SendError
	if !errors.As(err, &se) || !se.NotExecuted {
		t.Errorf("refused TCP connection gave %+v, want an attempt that was not run", err)
	}
}
