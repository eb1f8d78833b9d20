package apigw_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/emul/svc"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/proxy"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/websrv"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/internal/xhttp"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	secret    = "secret-1"
	modelItem = "m@1"
	onceItem  = "pen@1"
	adaptItem = "ad@1"
)

type (
	// site is an environment in memory: a key-value service, engines, services and hosts, joined by net.
	site struct {
		t        testing.TB
		net      memnet.Net
		kv       *kvfake.Store
		doc      *envdoc.Doc
		engines  []*model.Engine
		services []*svc.Service
		client   *http.Client
		stops    []func()
		keep     atomic.Int64 // retention of at-most-once records, as a time.Duration
	}

	// host is one entry host of a site; what it is made of may be changed before the first request.
	host struct {
		*apigw.Server
		name    string
		relay   *relay.Relay
		proxy   *proxy.Proxy
		records *idem.Records
		loop    *ctrl.Loop
		end     context.CancelFunc
		stop    func()
		// Times for which the host stands still once, after a ticket or before a request to a service.
		ticketStall, pickStall atomic.Int64
	}

	// reply is what a caller sees.
	reply struct {
		status int
		header http.Header
		body   []byte
		cut    error // the connection broke before the end
		err    answerError
	}

	answerError struct {
		Message   string         `json:"message"`
		Type      string         `json:"type"`
		Code      string         `json:"code"`
		Outcome   answer.Outcome `json:"outcome"`
		RequestID string         `json:"request_id"`
	}

	// query is one request of a caller; an empty method means POST.
	query struct {
		method, path, body string
		header             map[string]string
	}
)

// newSite starts engines, services and hosts; engines and services are named e1, s1 and so on, hosts h1.
func newSite(t testing.TB, engines, services, hosts int) (*site, []*host) {
	t.Helper()
	s := &site{t: t, kv: kvfake.New()}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.net.Dial, DisableKeepAlives: true}}
	s.doc = document(engines, services)
	s.keep.Store(int64(time.Hour))
	for i := range engines {
		e := &model.Engine{StepTime: 5 * time.Millisecond}
		s.engines = append(s.engines, e)
		s.stops = append(s.stops, s.net.Serve(fmt.Sprintf("e%d:80", i+1), e))
		s.load(i)
	}
	for i := range services {
		up := &svc.Service{WorkTime: 50 * time.Millisecond}
		s.services = append(s.services, up)
		s.stops = append(s.stops, s.net.Serve(fmt.Sprintf("s%d:80", i+1), up))
	}
	out := make([]*host, hosts)
	for i := range out {
		out[i] = s.host(fmt.Sprintf("h%d", i+1))
	}
	return s, out
}

// load gives engine i every item, as its owner would.
func (s *site) load(i int) {
	s.t.Helper()
	c := &engine.Client{HTTP: xhttp.Client{Dial: s.net.Dial}}
	for _, o := range []engine.Order{
		{ID: "1", Kind: engine.LoadModel, Item: modelItem},
		{ID: "2", Kind: engine.LoadModel, Item: onceItem},
		{ID: "3", Kind: engine.LoadAdapter, Item: adaptItem, Model: modelItem},
	} {
		if r, err := c.SendOrder(context.Background(), fmt.Sprintf("http://e%d:80", i+1), o); err != nil || !r.Applied {
			s.t.Fatalf("load %s: %+v, %v", o.Item, r, err)
		}
	}
}

func (s *site) host(name string) *host {
	ctx, end := context.WithCancel(context.Background())
	h := &host{name: name, loop: ctrl.New(), end: end}
	set := &stats.Set{}
	runner := &ticket.Runner{Pool: "p", Loop: h.loop, Dispatcher: s.dispatcher(name)}
	go h.loop.Run(ctx)
	h.loop.Post(func() { runner.SetEngines(s.states()) })
	retries := &budget.Budget{Share: 0.1, Max: 1000, Min: 1000}
	router := &ticket.Router{
		Stats: set, Owner: func(string) (string, bool) { return "", false },
		Local: func(string) *ticket.Runner { return runner },
	}
	h.relay = &relay.Relay{
		Engines: &engine.Client{HTTP: xhttp.Client{Dial: s.net.Dial}}, Stats: set,
		Tickets: asker(func(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error) {
			t, err := router.RequestTicket(ctx, a)
			stall(&h.ticketStall)
			return t, err
		}),
		RetryBudget: retries, HedgeBudget: &budget.Budget{Share: 0.05, Max: 1000, Min: 1000},
	}
	h.proxy = &proxy.Proxy{
		Client: &plain.Client{HTTP: xhttp.Client{Dial: s.net.Dial}}, RetryBudget: retries, Stats: set, FailureDomain: "a",
		IsLeaving: func(string) bool { stall(&h.pickStall); return false },
	}
	h.records = &idem.Records{
		KV: s.kv.Client(name), Stats: set, Environment: "test", Host: name,
		Retention: func() time.Duration { return time.Duration(s.keep.Load()) },
	}
	current := &apigw.ActiveDoc{Doc: s.doc, Revision: 1, Targets: s.doc.Targets()}
	h.Server = &apigw.Server{
		ActiveDoc: func() *apigw.ActiveDoc { return current }, Generator: h.relay, Forwarder: h.proxy, Idempotency: h.records,
		Hosts: func(domain, _ string) []apigw.Address {
			return []apigw.Address{{Name: "first", FailureDomain: domain}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		},
		Ready: func() error { return nil }, Stats: set, Log: zerolog.Nop(), HostName: name,
		MaxBodyBytes: 64 << 10, MaxInFlight: 100,
	}
	h.stop = s.net.Serve(name+":80", (&websrv.Server{Routes: h.Routes()}).Mux())
	s.stops = append(s.stops, h.stop, end)
	return h
}

func (s *site) dispatcher(host string) *pool.Dispatcher {
	d := &pool.Dispatcher{
		Pool: "p", TicketPrefix: host, Classes: s.doc.Classes, Callers: s.doc.Callers, Models: s.doc.Models,
		Adapters: s.doc.Adapters,
	}
	d.Configure()
	return d
}

func (s *site) states() []pool.EngineState {
	var out []pool.EngineState
	for _, e := range s.doc.Pools[0].Engines {
		out = append(out, pool.EngineState{
			Name: e.Name, URL: e.URL, Up: true, MaxSeqs: e.MaxSeqs, BootID: "b",
			Items: []string{modelItem, onceItem, adaptItem},
		})
	}
	return out
}

// close stops everything, so that no goroutine outlives the test.
func (s *site) close() {
	for _, stop := range s.stops {
		stop()
	}
	s.client.CloseIdleConnections()
}

func document(engines, services int) *envdoc.Doc {
	sum := sha256.Sum256([]byte(secret))
	d := &envdoc.Doc{
		Environment: "test",
		Classes: []envdoc.Class{
			{Name: "quick", FirstTokenMS: 2000, TotalMS: 60_000, ExpectedTokens: 16},
			{Name: "batch", Deferrable: true, Priority: 9},
		},
		Callers: []envdoc.Caller{{Name: "c1", KeySHA256: hex.EncodeToString(sum[:]), FailureDomain: "fd1", Share: 1}},
		Models: []envdoc.Model{
			{Name: "m", Version: "1", Pool: "p", Class: "quick"},
			{Name: "pen", Version: "1", Pool: "p", Class: "quick", NotRepeatable: true},
		},
		Adapters: []envdoc.Adapter{{Name: "ad", Version: "1", Model: "m", Class: "quick"}},
		Pools:    []envdoc.Pool{{Name: "p"}},
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i+1)
		d.Pools[0].Engines = append(d.Pools[0].Engines, envdoc.Engine{Name: name, URL: "http://" + name + ":80", MaxSeqs: 16})
	}
	var ups []envdoc.Upstream
	for i := range services {
		name := fmt.Sprintf("s%d", i+1)
		ups = append(ups, envdoc.Upstream{Name: name, URL: "http://" + name + ":80"})
	}
	d.Services = []envdoc.Service{
		{Name: "read", TimeoutMS: 5000, Upstreams: ups},
		{Name: "pay", TimeoutMS: 5000, Upstreams: ups, NotRepeatable: true},
		{Name: "strict", TimeoutMS: 5000, Upstreams: ups, NotRepeatable: true, RequireKey: true},
		{Name: "empty", TimeoutMS: 5000},
	}
	return d
}

// do sends a request with the right bearer key, which an empty Authorization header in q takes away.
func (s *site) do(ctx context.Context, h *host, q query) reply {
	method := q.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.name+":80"+q.path, strings.NewReader(q.body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+secret)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return reply{cut: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out := reply{status: resp.StatusCode, header: resp.Header}
	out.body, out.cut = io.ReadAll(resp.Body)
	var e struct{ Error answerError }
	if json.Unmarshal(out.body, &e) == nil {
		out.err = e.Error
	}
	return out
}

// text returns the answer's text and its finish reason; a stream without [DONE] is an error.
func (r reply) text() (text, finish string, err error) {
	switch {
	case r.cut != nil:
		return "", "", r.cut
	case r.status != http.StatusOK:
		return "", "", errors.Errorf("status %d: %s", r.status, r.body)
	case r.header.Get("Content-Type") == "text/event-stream":
		return r.streamed()
	}
	return textOf(r.body)
}

func (r reply) streamed() (text, finish string, err error) {
	var b strings.Builder
	for _, line := range bytes.Split(r.body, []byte("\n\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return b.String(), finish, nil
		}
		part, f, err := textOf(data)
		if err != nil {
			return b.String(), "", err
		}
		b.WriteString(part)
		if f != "" {
			finish = f
		}
	}
	return b.String(), finish, errors.New("stream without [DONE]")
}

func textOf(body []byte) (text, finish string, err error) {
	var a struct {
		Error   *answerError
		Choices []struct {
			Text           string
			Message, Delta struct{ Content string }
			FinishReason   string `json:"finish_reason"`
		}
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return "", "", err
	}
	if a.Error != nil {
		return "", "", errors.Errorf("%s (%s)", a.Error.Code, a.Error.Outcome)
	}
	for _, c := range a.Choices {
		text += c.Text + c.Message.Content + c.Delta.Content
		finish = c.FinishReason
	}
	return text, finish, nil
}

// want returns the tokens that every engine gives for a prompt.
func want(item, adapter, prompt string, seed int64, tokens int) string {
	c := engine.Call{Model: item, Adapter: adapter, Prompt: prompt, Seed: seed}
	var b strings.Builder
	for i := range tokens {
		b.WriteString(model.Token(c, i))
	}
	return b.String()
}
