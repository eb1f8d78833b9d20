package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/order"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

func (h *Host) operatorServer() *oper.Server {
	return &oper.Server{
		Name: h.Config.Name, Environment: h.Config.Environment, Listen: h.Config.Operators.Listen,
		CertFile: h.Config.Operators.TLS.CertFile, KeyFile: h.Config.Operators.TLS.KeyFile,
		KeySHA256: h.Config.Operators.KeySHA256, DocumentStore: h.spreader, Status: h.status, Drain: h.drainRequest,
		Hosts: h.table.Live, Stats: h.stats, Log: h.Log,
	}
}

// drainRequest starts the planned stop of this host, or tells all hosts that an upstream leaves or returns.
func (h *Host) drainRequest(_ context.Context, d oper.DrainRequest) error {
	if d.Kind == oper.DrainHost {
		h.requestDrain()
		return nil
	}
	if !hasUpstream(h.doc(), d.Name) {
		return errors.WithMessage(oper.ErrNoUpstream, d.Name)
	}
	h.table.SetDeparture(wire.Departure{Upstream: d.Name, Returned: d.End, Seq: time.Now().UnixMilli()})
	return nil
}

func hasUpstream(doc *envdoc.Doc, name string) bool {
	if doc == nil {
		return false
	}
	for _, p := range doc.Pools {
		for _, e := range p.Engines {
			if e.Name == name {
				return true
			}
		}
	}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			if u.Name == name {
				return true
			}
		}
	}
	return false
}

// status tells what this host knows; pools that other hosts own are shown by the last residency heard of.
func (h *Host) status() oper.Status {
	s := oper.Status{
		Host: h.Config.Name, Environment: h.Config.Environment, FailureDomain: h.Config.FailureDomain,
		Ready: h.ready() == nil, Leaving: h.leaving.Load(), CallsInFlight: int(h.callers.InFlight()),
		Config: h.spreader.Status(), Hosts: h.table.Members(),
	}
	doc := h.doc()
	if doc == nil {
		return s
	}
	holders := make(map[string][]string)
	for _, p := range doc.Pools {
		h.poolStatus(&s, p, holders)
	}
	for _, svc := range doc.Services {
		for _, u := range svc.Upstreams {
			s.Upstreams = append(s.Upstreams, oper.Upstream{
				Name: u.Name, Group: svc.Name, FailureDomain: u.FailureDomain, Up: true,
				Leaving: h.departed(u.Name),
			})
		}
	}
	s.Models = modelStatus(doc, holders)
	return s
}

func (h *Host) poolStatus(s *oper.Status, p envdoc.Pool, holders map[string][]string) {
	d := h.pools.get(p.Name)
	if d == nil {
		return
	}
	var view wire.PoolView
	h.loop.Call(func() { view = d.Runner().View() })
	shown := make(map[string]wire.EngineView, len(view.Engines))
	for _, e := range view.Engines {
		shown[e.Name] = e
	}
	reports := reportsOf(d.Snapshot())
	for _, e := range p.Engines {
		v, known := shown[e.Name]
		up := oper.Upstream{
			Name: e.Name, Group: p.Name, FailureDomain: e.FailureDomain, Up: known && !v.Leaving,
			Leaving: h.departed(e.Name), UsableMB: e.Usable(),
		}
		if r, ok := reports[e.Name]; ok {
			up.Up, up.Leaving, up.ReservedMB = r.Up, up.Leaving || r.Leaving, r.ReservedMB
			s.InDoubtOrders = append(s.InDoubtOrders, doubtsOf(e.Name, r.InDoubt)...)
		}
		for _, item := range v.Items {
			up.Running += d.Runner().Running(e.Name, item)
			holders[item] = append(holders[item], e.Name)
		}
		s.Upstreams = append(s.Upstreams, up)
	}
}

func reportsOf(s order.Snapshot, ok bool) map[string]order.EngineSnapshot {
	out := make(map[string]order.EngineSnapshot, len(s.Engines))
	if !ok {
		return out
	}
	for _, e := range s.Engines {
		out[e.Name] = e
	}
	return out
}

func doubtsOf(engine string, doubts []ledger.InDoubtOrder) []oper.InDoubtOrder {
	out := make([]oper.InDoubtOrder, 0, len(doubts))
	for _, d := range doubts {
		out = append(out, oper.InDoubtOrder{
			Engine: engine, Order: d.OrderID, Item: d.Item, AgeS: int(time.Since(d.Since).Seconds()),
		})
	}
	return out
}

func modelStatus(doc *envdoc.Doc, holders map[string][]string) []oper.Model {
	targets := doc.Targets()
	var out []oper.Model
	for _, m := range doc.Models {
		out = append(out, oper.Model{
			Name: m.Name, Pool: m.Pool, MinCopies: m.MinCopies, Engines: holders[m.Item()],
		})
	}
	for _, a := range doc.Adapters {
		out = append(out, oper.Model{
			Name: a.Name, Pool: targets[a.Name].Pool, MinCopies: a.MinCopies, Engines: holders[a.Item()],
		})
	}
	return out
}
