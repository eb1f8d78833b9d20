package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	plainSlots = 6
	plainWork  = 20 * time.Millisecond
)

// plain is a stand-in of a server of a plain service. Its answers name the service.
type plain struct {
	id, zone, service string
	store             *storeServer
	record            *record
	addr              string
	srv               *http.Server
	born              int64

	mu    sync.Mutex
	beats int
}

// startPlain starts a server of a plain service and registers it.
func (s *site) startPlain(id, zone, service string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for a server")
	}
	p := &plain{
		id: id, zone: zone, service: service, store: s.store, record: s.record, addr: l.Addr().String(),
		born: time.Now().UnixMilli(),
	}
	p.srv = &http.Server{ReadHeaderTimeout: time.Minute, Handler: p}
	go func() { _ = p.srv.Serve(l) }()
	p.beat()
	s.plains = append(s.plains, p)
	return nil
}

// beat writes the entry of the server.
func (p *plain) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	p.store.set("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": oldVersion, "state": "ready",
		"born": p.born, "cold_left_ms": 0, "sequence": p.beats, "slots": plainSlots,
	})
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", p.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id != "" {
		p.record.add("server %s of service %s runs %s", p.id, p.service, id)
	}
	time.Sleep(plainWork)
	w.Header().Set("Server-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "%s\n", p.service)
}
