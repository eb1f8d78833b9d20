package site

import (
	"cmp"
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

// siteCall is one call of a caller; workspace is nil where calls need no key.
type siteCall struct {
	host           *siteHost
	service        string
	number         int
	workspace      *Workspace
	prompt, output int
}

// startUpstream starts an upstream whose calls take the given time, and registers it.
func (s *Site) startUpstream(ctx context.Context, name, service string, work time.Duration) error {
	l, err := s.net.Listen()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveCall(w, r, name, work)
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
func (s *Site) serveCall(w http.ResponseWriter, r *http.Request, upstream string, work time.Duration) {
	id := r.Header.Get(headerID)
	_, host, _ := strings.Cut(id, "@")
	p := pair{upstream, host}
	s.report.arrive(p, s.since())
	n, stated := s.notice(upstream)
	s.report.check(r.Header, upstream, n.Hold == 0, s.since())
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
	time.Sleep(work)
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
	load := s.load()
	for i := 0; s.since() < s.Duration && ctx.Err() == nil; i++ {
		service := modelService
		if rng.Float64()*(s.ModelRate+s.PlainRate) > s.ModelRate {
			service = plainService
		}
		c := &siteCall{host: s.hosts[rng.IntN(len(s.hosts))], service: service, number: i}
		if c.workspace = s.draw(rng); c.workspace != nil && service == modelService {
			c.prompt, c.output = drawTokens(rng)
		}
		calls.Go(func() { s.call(ctx, client, c) })
		time.Sleep(time.Duration(rng.ExpFloat64() / (s.ModelRate + s.PlainRate) / load * float64(time.Second)))
	}
	calls.Wait()
}

// call sends one call; a rejected one is not repeated.
func (s *Site) call(ctx context.Context, client *http.Client, c *siteCall) {
	r, err := c.request(ctx)
	if err != nil {
		s.report.end(err.Error())
		return
	}
	if w := c.workspace; w != nil {
		s.report.ask(w, w.Quota.Cost(c.prompt, c.output, c.service == plainService), s.since())
	}
	resp, err := client.Do(r)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.end(c, "not listening", "")
		return
	case err != nil:
		s.Log.Warn().Err(err).Str("call", r.Header.Get(headerID)).Msg("call got no response")
		s.end(c, "no response", "")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.end(c, "cut", "")
		return
	}
	s.end(c, strconv.Itoa(resp.StatusCode), strings.TrimSpace(string(body)))
}

// end counts the outcome of a call, and for its workspace the reason if it was not served.
func (s *Site) end(c *siteCall, outcome, reason string) {
	s.report.end(outcome)
	if c.workspace != nil {
		s.report.tell(c.workspace, outcome == strconv.Itoa(http.StatusOK), cmp.Or(reason, outcome))
	}
}

// request returns the request of the call. Callers claim a workspace themselves, which hosts must not forward.
func (c *siteCall) request(ctx context.Context) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s/call", c.host.settings.Front, c.service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Host = hostName
	id := fmt.Sprint("c", c.number)
	if w := c.workspace; w != nil {
		id += "." + w.Name
		r.Header.Set(headerKey, "Bearer "+w.Key)
		r.Header.Set(headerWorkspace, "claimed")
		if c.service == modelService {
			r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", c.prompt, c.output))
		}
	}
	r.Header.Set(headerID, id+"@"+c.host.label())
	return r, nil
}
