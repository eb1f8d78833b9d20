package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	lookupPath             = "/lookup/"
	oldService, newService = "register", "archive"
	// applyTime is the bound config_apply_ms.
	applyTime = 2 * time.Second
	// stretchTime is the bound max_stretch_ms, by which an unstable core stretches that of the configuration.
	stretchTime = 5 * time.Second
	// muteAfter is when the store begins to give one machine no response, after an earlier change of the configuration.
	// The route moves moveAfter later, and the store answers that machine again muteTime after it began.
	muteAfter = 300 * time.Millisecond
	moveAfter = 500 * time.Millisecond
	muteTime  = 2 * time.Second
	// lookupInterval is the time between two rounds of requests, which are sent until lookUntil after the move.
	lookupInterval = 200 * time.Millisecond
	lookUntil      = 12 * time.Second
	lookupTimeout  = 1500 * time.Millisecond
)

// playSilent lets the store give one machine no response for a while, in which a route moves to another service. The
// store answers all new calls afterwards. Without trouble it answers all the while.
func playSilent(ctx context.Context, s *site, trouble bool) (broken bool, err error) {
	if err := s.startSilent(ctx); err != nil {
		return false, err
	}
	muted := s.hosts[len(s.hosts)-1]
	s.moveRoute(2, oldService)
	time.Sleep(muteAfter)
	begun := time.Now()
	if trouble {
		s.record.add("the store gives %s no response", muted.name)
		muted.port.mute.Store(true)
	}
	time.Sleep(moveAfter)
	s.moveRoute(3, newService)
	acked := time.Now()
	time.Sleep(time.Until(begun.Add(muteTime)))
	muted.port.mute.Store(false)
	s.record.add("the store answers all machines")
	calm := time.Now().Add(contactTime)
	judged := acked.Add(applyTime + stretchTime)
	if judged.Before(calm) {
		judged = calm
	}
	late, served := s.lookUp(ctx, acked, judged)
	s.record.add("requests sent when the bound had passed and the machine was in touch: %d, run by the old service: %d",
		served, late)
	fmt.Printf("%d of %d requests were run by the old service when the bound had passed\n", late, served)
	return late > 0, nil
}

func (s *site) startSilent(ctx context.Context) error {
	s.store = newStoreServer()
	s.moveRoute(1, oldService)
	for i := range 2 {
		for _, service := range []string{oldService, newService} {
			if err := s.startPlain(fmt.Sprintf("i-%s-%d", service, i), string(rune('a'+i)), service); err != nil {
				return err
			}
		}
	}
	s.beat()
	if err := s.startHosts(ctx, 3); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// lookUp sends requests to all hosts, and returns how many of those sent from a time on were run, and how many of them
// by the old service.
func (s *site) lookUp(ctx context.Context, acked, judged time.Time) (late, served int) {
	for time.Since(acked) < lookUntil {
		for _, h := range s.hosts {
			sent := time.Now()
			status, service := s.request(ctx, h)
			s.record.add("request at %s %v after the ack: status %d, run by %s", h.name,
				sent.Sub(acked).Round(time.Millisecond), status, service)
			if sent.Before(judged) || status != http.StatusOK {
				continue
			}
			served++
			if service == oldService {
				late++
			}
		}
		time.Sleep(lookupInterval)
	}
	return late, served
}

// request sends one request on a new channel and returns the status and the service that ran it.
func (s *site) request(ctx context.Context, h *host) (status int, service string) {
	d := net.Dialer{Timeout: dialTime}
	conn, err := d.DialContext(ctx, "tcp4", h.front)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * lookupTimeout))
	id := fmt.Sprintf("%016x", attempts.Add(1))
	_, err = fmt.Fprintf(conn, "GET %sa HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\n\r\n",
		lookupPath, routeHost, id, lookupTimeout.Milliseconds())
	if err != nil {
		return 0, ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(body))
}

// moveRoute writes a version of the configuration in which the route goes to a service.
func (s *site) moveRoute(version int, service string) {
	s.store.set("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lookup", "hostname": routeHost, "path_prefix": lookupPath, "kind": "idempotent",
			"timeout_ms": lookupTimeout.Milliseconds(), "target_latency_ms": 300, "priority": 2, "service": service,
			"max_attempts": 2,
		}},
		"services": []any{
			map[string]any{"name": oldService, "health_path": "/health"},
			map[string]any{"name": newService, "health_path": "/health"},
		},
		"limits": map[string]any{
			"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000,
		},
	})
	s.record.add("the store acknowledges version %d of the configuration: the route goes to %s", version, service)
}
