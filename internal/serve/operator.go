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
		KeySHA256: h.Config.Operators.KeySHA256, DocumentStore: h.replicator, Status: h.status, Drain: h.handleDrain,
		Hosts: h.members.Live, Stats: h.stats, Gate: h.gate, Log: h.Log,
	}
}

// handleDrain starts the graceful shutdown of this host, or announces to all hosts that an upstream is leaving or has
// returned.
func (h *Host) handleDrain(_ context.Context, req oper.DrainRequest) error {
	if req.Kind == oper.DrainHost {
		h.requestDrain()
		return nil
	}
	if !hasUpstream(h.doc(), req.Name) {
		return errors.WithMessage(oper.ErrNoUpstream, req.Name)
	}
	h.members.SetDeparture(wire.Departure{Upstream: req.Name, Returned: req.End, Seq: time.Now().UnixMilli()})
	return nil
}

// hasUpstream reports whether the document contains an engine or a service upstream with the given name.
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

// status returns the state of the environment as far as this host knows it. Pools that other hosts own are described by
// the last residency snapshot that this host fetched.
func (h *Host) status() oper.Status {
	s := oper.Status{
		Host: h.Config.Name, Environment: h.Config.Environment, FailureDomain: h.Config.FailureDomain,
		Ready: h.ready() == nil, Leaving: h.stopping.Load(), CallsInFlight: int(h.callerAPI.InFlight()),
		Config: h.replicator.Status(), Hosts: h.members.Members(),
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
				Leaving: h.upstreamLeaving(u.Name),
			})
		}
	}
	s.Models = modelStatus(doc, holders)
	return s
}

// poolStatus adds the engines of a pool to s, and their names to the holders of each item that is resident on them. The
// status reports of engines are available, and preferred, on the host that owns the pool.
func (h *Host) poolStatus(s *oper.Status, p envdoc.Pool, holders map[string][]string) {
	m := h.pools.get(p.Name)
	if m == nil {
		return
	}
	var view wire.PoolView
	h.loop.Call(func() { view = m.Runner().View() })
	views := make(map[string]wire.EngineView, len(view.Engines))
	for _, e := range view.Engines {
		views[e.Name] = e
	}
	snapshots := engineSnapshots(m.Snapshot())
	for _, e := range p.Engines {
		v, known := views[e.Name]
		up := oper.Upstream{
			Name: e.Name, Group: p.Name, FailureDomain: e.FailureDomain, Up: known && !v.Leaving,
			Leaving: h.upstreamLeaving(e.Name), UsableMB: e.Usable(),
		}
		if r, ok := snapshots[e.Name]; ok {
			up.Up, up.Leaving, up.ReservedMB = r.Up, up.Leaving || r.Leaving, r.ReservedMB
			s.InDoubtOrders = append(s.InDoubtOrders, inDoubtOrders(e.Name, r.InDoubt)...)
		}
		for _, item := range v.Items {
			up.Running += m.Runner().Running(e.Name, item)
			holders[item] = append(holders[item], e.Name)
		}
		s.Upstreams = append(s.Upstreams, up)
	}
}

// engineSnapshots returns the engines of a snapshot by name; the result is empty if ok is false.
func engineSnapshots(s order.Snapshot, ok bool) map[string]order.EngineSnapshot {
	out := make(map[string]order.EngineSnapshot, len(s.Engines))
	if !ok {
		return out
	}
	for _, e := range s.Engines {
		out[e.Name] = e
	}
	return out
}

// inDoubtOrders converts orders whose outcome is unknown to their form in the status.
func inDoubtOrders(engine string, orders []ledger.InDoubtOrder) []oper.InDoubtOrder {
	out := make([]oper.InDoubtOrder, 0, len(orders))
	for _, o := range orders {
		out = append(out, oper.InDoubtOrder{
			Engine: engine, Order: o.OrderID, Item: o.Item, AgeS: int(time.Since(o.Since).Seconds()),
		})
	}
	return out
}

// modelStatus returns the models and adapters of the document; holders maps an item to the engines that hold it.
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
