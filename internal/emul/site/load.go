package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/topo"
)

const (
	hostName     = "site"
	modelName    = "m"
	callTimeout  = 2 * time.Second
	engineSlots  = 16
	kvTokens     = 200_000
	promptTokens = 200
	outputTokens = 50
)

// startUpstream starts an upstream and registers it.
func (s *Site) startUpstream(ctx context.Context, name, service string) error {
	l, err := listen()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveCall(w, r, name)
	}), ReadHeaderTimeout: callTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Log.Error().Err(err).Str("upstream", name).Msg("upstream failed")
		}
	}()
	value, err := json.Marshal(registration{Service: service, Addr: l.Addr().String()})
	if err != nil {
		return errors.Wrap(err, "encode upstream")
	}
	s.store.Set(upstreamPrefix+name, string(value))
	return nil
}

// serveCall counts a call at an upstream and responds with what the upstream states now.
func (s *Site) serveCall(w http.ResponseWriter, r *http.Request, upstream string) {
	id := r.Header.Get(headerID)
	_, host, _ := strings.Cut(id, "@")
	p := pair{upstream, host}
	s.report.arrive(p, s.since())
	n, stated := s.notice(upstream)
	defer func() { s.report.state(stated, p, s.since()) }()
	if n.Limited {
		w.Header().Set(headerLimit, strconv.FormatFloat(n.Limit, 'f', 2, 64))
	}
	if n.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	w.Header().Set(headerID, id)
	if n.Hold > 0 {
		w.Header().Set(headerRetry, strconv.FormatFloat(n.Hold.Seconds(), 'f', 3, 64))
		w.Header().Set(headerRefused, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.WorkTime)
	_, _ = io.WriteString(w, "ok")
}

// notice returns what an upstream states now, and the indexes of these statements.
func (s *Site) notice(upstream string) (n topo.Notice, stated []int) {
	now := s.since()
	for i, st := range s.Statements {
		if st.Upstream != upstream || now < st.From || now >= st.Until {
			continue
		}
		stated = append(stated, i)
		if st.Limit > 0 {
			n.Limited, n.Limit = true, st.Limit
		}
		n.Leaving, n.Hold = n.Leaving || st.Leaving, max(n.Hold, st.Hold)
	}
	return n, stated
}

// sendCalls sends calls to hosts at random until the load ends, and waits for their responses.
func (s *Site) sendCalls(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	for i := 0; s.since() < s.Duration && ctx.Err() == nil; i++ {
		service := modelService
		if rng.Float64()*(s.ModelRate+s.PlainRate) > s.ModelRate {
			service = plainService
		}
		h := s.hosts[rng.IntN(len(s.hosts))]
		calls.Go(func() { s.call(ctx, client, h, service, i) })
		time.Sleep(time.Duration(rng.ExpFloat64() / (s.ModelRate + s.PlainRate) * float64(time.Second)))
	}
	calls.Wait()
}

// call sends one call; a rejected one is not repeated.
func (s *Site) call(ctx context.Context, client *http.Client, h *siteHost, service string, n int) {
	url := fmt.Sprintf("http://%s/%s/call", h.settings.Front, service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		s.report.end(err.Error())
		return
	}
	r.Host = hostName
	r.Header.Set(headerID, fmt.Sprintf("c%d@%s", n, h.label()))
	resp, err := client.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.report.end("not listening")
		return
	case err != nil:
		s.Log.Warn().Err(err).Str("call", r.Header.Get(headerID)).Msg("call got no response")
		s.report.end("no response")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		s.report.end("cut")
		return
	}
	s.report.end(strconv.Itoa(resp.StatusCode))
}
