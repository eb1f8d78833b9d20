package order

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
)

type (
	// EngineSnapshot is what the owner knows of one engine, for operators.
	EngineSnapshot struct {
		Name       string                `json:"name"`
		Up         bool                  `json:"up"`
		Leaving    bool                  `json:"leaving"`
		Owned      bool                  `json:"owned"`
		CapacityMB int                   `json:"capacity_mb"`
		ReservedMB int                   `json:"reserved_mb"`
		Items      []string              `json:"items"`
		InDoubt    []ledger.InDoubtOrder `json:"in_doubt,omitempty"`
	}

	// Snapshot is what the owner knows of its pool; Copies counts the answering copies of each item of the document.
	Snapshot struct {
		Pool    string           `json:"pool"`
		Engines []EngineSnapshot `json:"engines"`
		Copies  map[string]int   `json:"copies"`
		InDoubt int              `json:"in_doubt"`
	}
)

// Snapshot returns the last published state; it may be called from any goroutine.
func (o *Reconciler) Snapshot() Snapshot {
	if s := o.snapshot.Load(); s != nil {
		return *s
	}
	return Snapshot{Pool: o.Pool}
}

// plan begins the planner's moves once every ledger is owned and every engine was seen or counts as lost.
func (o *Reconciler) plan(ctx context.Context, now time.Time) {
	if o.doc == nil || !o.Valid(now) {
		return
	}
	in := plan.Input{}
	for _, p := range o.peers {
		if !p.taken || !p.led.HasReport() && p.fails < downAfter {
			return
		}
		in.Engines = append(in.Engines, o.room(p))
	}
	o.fillItems(&in)
	if o.Demand != nil {
		in.Demand = o.Demand(now)
	}
	for _, m := range o.Planner.Plan(now, in) {
		o.move(ctx, m, now)
	}
}

func (o *Reconciler) fillItems(in *plan.Input) {
	models := make(map[string]bool)
	for _, m := range o.doc.Models {
		if m.Pool == o.Pool {
			in.Models = append(in.Models, m)
			models[m.Name] = true
		}
	}
	for _, a := range o.doc.Adapters {
		if models[a.Model] {
			in.Adapters = append(in.Adapters, a)
		}
	}
}

func (o *Reconciler) move(ctx context.Context, m plan.Action, now time.Time) {
	p := o.peer(m.Engine)
	if p == nil || !p.up() {
		return
	}
	if m.Unload {
		if _, ok := p.draining[m.Item]; !ok && o.mayUnload(p, m.Item) {
			p.draining[m.Item] = now
		}
		return
	}
	if p.asking[m.Item] == nil {
		o.Stats.CountEvent("move_" + m.Reason)
		o.ask(ctx, p, m, false)
	}
}

func (o *Reconciler) peer(name string) *peer {
	for _, p := range o.peers {
		if p.doc.Name == name {
			return p
		}
	}
	return nil
}

// room describes an engine to the planner; loads that wait for a ticket count as placed.
func (o *Reconciler) room(p *peer) plan.Engine {
	r := plan.Engine{State: p.state(), UsableMB: p.led.CapacityMB(), ReservedMB: p.led.ReservedMB()}
	for i := range p.led.Items {
		it := &p.led.Items[i]
		if it.Gone || it.Role {
			continue
		}
		_, draining := p.draining[it.Name]
		c := plan.Replica{
			Item: it.Name, Adapter: it.Adapter, MemoryMB: it.MemoryMB, Model: it.Model,
			Ready:     it.Reported == engine.Resident && p.up(),
			Unloading: !it.Desired || draining,
			InDoubt:   it.UnloadFence > 0,
		}
		if o.Running != nil {
			c.Running = o.Running(p.doc.Name, it.Name)
		}
		r.Replicas = append(r.Replicas, c)
	}
	for _, item := range sortedKeys(p.asking) {
		m := p.asking[item].move
		if it := p.led.Item(item); it == nil || it.Gone {
			r.ReservedMB += m.MemoryMB
			r.Replicas = append(r.Replicas, plan.Replica{
				Item: item, Adapter: m.Adapter, MemoryMB: m.MemoryMB, Model: m.Model,
			})
		}
	}
	return r
}

// named reports whether the document names this item version for this pool.
func (o *Reconciler) named(item string) bool {
	models := make(map[string]bool)
	for _, m := range o.doc.Models {
		if m.Pool == o.Pool {
			models[m.Name] = true
			if m.Item() == item {
				return true
			}
		}
	}
	for _, a := range o.doc.Adapters {
		if models[a.Model] && a.Item() == item {
			return true
		}
	}
	return false
}

// successor returns the version of the same model or adapter that the document names, or an empty string.
func (o *Reconciler) successor(item string) string {
	name, _, _ := strings.Cut(item, "@")
	for _, m := range o.doc.Models {
		if m.Name == name && o.named(m.Item()) {
			return m.Item()
		}
	}
	for _, a := range o.doc.Adapters {
		if a.Name == name && o.named(a.Item()) {
			return a.Item()
		}
	}
	return ""
}

// needed reports whether a lost item is loaded again: the document names it, or its successor does not answer yet.
func (o *Reconciler) needed(item string) bool {
	if o.named(item) {
		return true
	}
	next := o.successor(item)
	return next != "" && o.elsewhere(nil, next) == 0
}

// answers reports whether calls may be given the item on this engine.
func (o *Reconciler) answers(p *peer, item string) bool {
	return slices.Contains(p.items(), item)
}

// elsewhere counts the other engines that stay and answer for the item.
func (o *Reconciler) elsewhere(p *peer, item string) int {
	n := 0
	for _, other := range o.peers {
		if other == p || !other.up() || other.status.Leaving || !o.answers(other, item) {
			continue
		}
		if it := other.ledgerItem(item); it == nil || it.UnloadFence == 0 {
			n++
		}
	}
	return n
}

func (p *peer) ledgerItem(item string) *ledger.Item {
	if p.led == nil {
		return nil
	}
	return p.led.Item(item)
}

// items returns what the engine answers for, without what is being given up.
func (p *peer) items() []string {
	out := []string{}
	for _, have := range p.status.Items {
		if have.State != engine.Resident {
			continue
		}
		if _, ok := p.draining[have.Name]; ok {
			continue
		}
		if it := p.ledgerItem(have.Name); it != nil && !it.Desired {
			continue
		}
		out = append(out, have.Name)
	}
	slices.Sort(out)
	return out
}

func (p *peer) state() pool.EngineState {
	s := pool.EngineState{
		Name: p.doc.Name, URL: p.doc.URL, FailureDomain: p.doc.FailureDomain, BootID: p.status.BootID,
		Up: p.up(), Leaving: p.status.Leaving, MaxSeqs: p.doc.MaxSeqs, Items: p.items(),
		Running: p.status.Running, TokensPerS: p.status.TokensPerS,
	}
	for _, have := range p.status.Items {
		if have.State == engine.Loading {
			s.Loading = append(s.Loading, have.Name)
		}
	}
	slices.Sort(s.Loading)
	return s
}

// publish hands changes to OnEngines and refreshes the snapshot.
func (o *Reconciler) publish(refresh bool) {
	states := make([]pool.EngineState, 0, len(o.peers))
	for _, p := range o.peers {
		states = append(states, p.state())
	}
	changed := !slices.EqualFunc(states, o.shown, sameState)
	if changed || refresh {
		o.snapshot.Store(o.snap())
	}
	if !changed {
		return
	}
	o.shown = states
	if o.OnEngines != nil {
		o.OnEngines(slices.Clone(states))
	}
}

func (o *Reconciler) snap() *Snapshot {
	s := &Snapshot{Pool: o.Pool, Copies: make(map[string]int)}
	for _, p := range o.peers {
		e := EngineSnapshot{
			Name: p.doc.Name, Up: p.up(), Leaving: p.status.Leaving, Owned: p.taken, Items: p.items(),
		}
		if p.led != nil {
			e.CapacityMB = p.led.CapacityMB()
			e.ReservedMB = p.led.ReservedMB()
			e.InDoubt = p.led.InDoubt()
		}
		s.InDoubt += len(e.InDoubt)
		for _, item := range e.Items {
			if e.Up && o.named(item) {
				s.Copies[item]++
			}
		}
		s.Engines = append(s.Engines, e)
	}
	o.Stats.SetGauge("orders_in_doubt", int64(s.InDoubt))
	return s
}

func sameState(a, b pool.EngineState) bool {
	return a.Name == b.Name && a.URL == b.URL && a.FailureDomain == b.FailureDomain && a.BootID == b.BootID &&
		a.Up == b.Up && a.Leaving == b.Leaving && a.MaxSeqs == b.MaxSeqs && a.Running == b.Running &&
		a.TokensPerS == b.TokensPerS && slices.Equal(a.Items, b.Items) && slices.Equal(a.Loading, b.Loading)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
