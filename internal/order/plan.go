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
	// EngineSnapshot is the state of one engine, for operators. Owned is true when the owner has taken over its ledger.
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

	// Snapshot is the state of a pool. Replicas counts the ready replicas of each item of the document, InDoubt the
	// orders with an unknown outcome.
	Snapshot struct {
		Pool     string           `json:"pool"`
		Engines  []EngineSnapshot `json:"engines"`
		Replicas map[string]int   `json:"copies"`
		InDoubt  int              `json:"in_doubt"`
	}
)

// Snapshot returns the last published snapshot; it may be called from any goroutine.
func (r *Reconciler) Snapshot() Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return *s
	}
	return Snapshot{Pool: r.Pool}
}

// runPlanner starts the actions of the planner. It waits until every ledger is taken over, and every engine has sent a
// report or counts as lost.
func (r *Reconciler) runPlanner(ctx context.Context, now time.Time) {
	if r.doc == nil || !r.Valid(now) {
		return
	}
	in := plan.Input{}
	for _, es := range r.engineStates {
		if !es.takenOver || !es.led.HasReport() && es.failedPolls < maxFailedPolls {
			return
		}
		in.Engines = append(in.Engines, r.planEngine(es))
	}
	r.fillItems(&in)
	if r.Demand != nil {
		in.Demand = r.Demand(now)
	}
	for _, act := range r.Planner.Plan(now, in) {
		r.startAction(ctx, act, now)
	}
}

func (r *Reconciler) fillItems(in *plan.Input) {
	models := make(map[string]bool)
	for _, m := range r.doc.Models {
		if m.Pool == r.Pool {
			in.Models = append(in.Models, m)
			models[m.Name] = true
		}
	}
	for _, a := range r.doc.Adapters {
		if models[a.Model] {
			in.Adapters = append(in.Adapters, a)
		}
	}
}

func (r *Reconciler) startAction(ctx context.Context, act plan.Action, now time.Time) {
	es := r.engineByName(act.Engine)
	if es == nil || !es.up() {
		return
	}
	if act.Unload {
		if _, ok := es.draining[act.Item]; !ok && r.canUnload(es, act.Item) {
			es.draining[act.Item] = now
		}
		return
	}
	if es.loadRequests[act.Item] == nil {
		r.Stats.CountEvent("move_" + act.Reason)
		r.requestLoad(ctx, es, act, false)
	}
}

func (r *Reconciler) engineByName(name string) *engineState {
	for _, es := range r.engineStates {
		if es.spec.Name == name {
			return es
		}
	}
	return nil
}

// planEngine returns the planner's input for an engine; loads that wait for a ticket count as replicas.
func (r *Reconciler) planEngine(es *engineState) plan.Engine {
	out := plan.Engine{State: es.poolState(), UsableMB: es.led.CapacityMB(), ReservedMB: es.led.ReservedMB()}
	for i := range es.led.Items {
		it := &es.led.Items[i]
		if it.Gone || it.Role {
			continue
		}
		_, draining := es.draining[it.Name]
		c := plan.Replica{
			Item: it.Name, Adapter: it.Adapter, MemoryMB: it.MemoryMB, Model: it.Model,
			Ready:     it.Reported == engine.Resident && es.up(),
			Unloading: !it.Desired || draining,
			InDoubt:   it.UnloadFence > 0,
		}
		if r.Running != nil {
			c.Running = r.Running(es.spec.Name, it.Name)
		}
		out.Replicas = append(out.Replicas, c)
	}
	for _, item := range sortedKeys(es.loadRequests) {
		act := es.loadRequests[item].action
		if it := es.led.Item(item); it == nil || it.Gone {
			out.ReservedMB += act.MemoryMB
			out.Replicas = append(out.Replicas, plan.Replica{
				Item: item, Adapter: act.Adapter, MemoryMB: act.MemoryMB, Model: act.Model,
			})
		}
	}
	return out
}

// inDocument reports whether the document lists this version of an item for this pool.
func (r *Reconciler) inDocument(item string) bool {
	models := make(map[string]bool)
	for _, m := range r.doc.Models {
		if m.Pool == r.Pool {
			models[m.Name] = true
			if m.Item() == item {
				return true
			}
		}
	}
	for _, a := range r.doc.Adapters {
		if models[a.Model] && a.Item() == item {
			return true
		}
	}
	return false
}

// currentVersion returns the item of the same model or adapter in the version of the document, or an empty string.
func (r *Reconciler) currentVersion(item string) string {
	name, _, _ := strings.Cut(item, "@")
	for _, m := range r.doc.Models {
		if m.Name == name && r.inDocument(m.Item()) {
			return m.Item()
		}
	}
	for _, a := range r.doc.Adapters {
		if a.Name == name && r.inDocument(a.Item()) {
			return a.Item()
		}
	}
	return ""
}

// needed reports whether an item must stay available: the document lists it, or lists another version of it that has
// no ready replica yet.
func (r *Reconciler) needed(item string) bool {
	if r.inDocument(item) {
		return true
	}
	next := r.currentVersion(item)
	return next != "" && r.otherReplicas(nil, next) == 0
}

// itemReady reports whether new calls may use the item on this engine.
func (r *Reconciler) itemReady(es *engineState, item string) bool {
	return slices.Contains(es.readyItems(), item)
}

// otherReplicas returns the number of other engines that are not leaving and have the item ready, without an unload in
// flight.
func (r *Reconciler) otherReplicas(es *engineState, item string) int {
	n := 0
	for _, other := range r.engineStates {
		if other == es || !other.up() || other.status.Leaving || !r.itemReady(other, item) {
			continue
		}
		if it := other.ledgerItem(item); it == nil || it.UnloadFence == 0 {
			n++
		}
	}
	return n
}

func (es *engineState) ledgerItem(item string) *ledger.Item {
	if es.led == nil {
		return nil
	}
	return es.led.Item(item)
}

// readyItems returns the resident items of the engine, without those that are draining or no longer desired.
func (es *engineState) readyItems() []string {
	out := []string{}
	for _, have := range es.status.Items {
		if have.State != engine.Resident {
			continue
		}
		if _, ok := es.draining[have.Name]; ok {
			continue
		}
		if it := es.ledgerItem(have.Name); it != nil && !it.Desired {
			continue
		}
		out = append(out, have.Name)
	}
	slices.Sort(out)
	return out
}

func (es *engineState) poolState() pool.EngineState {
	s := pool.EngineState{
		Name: es.spec.Name, URL: es.spec.URL, FailureDomain: es.spec.FailureDomain, BootID: es.status.BootID,
		Up: es.up(), Leaving: es.status.Leaving, MaxSeqs: es.spec.MaxSeqs, Items: es.readyItems(),
		Running: es.status.Running, TokensPerS: es.status.TokensPerS,
	}
	for _, have := range es.status.Items {
		if have.State == engine.Loading {
			s.Loading = append(s.Loading, have.Name)
		}
	}
	slices.Sort(s.Loading)
	return s
}

// publish passes changed engine states to OnEngines, and updates the snapshot after a change or if refresh is set.
func (r *Reconciler) publish(refresh bool) {
	states := make([]pool.EngineState, 0, len(r.engineStates))
	for _, es := range r.engineStates {
		states = append(states, es.poolState())
	}
	changed := !slices.EqualFunc(states, r.published, sameState)
	if changed || refresh {
		r.snapshot.Store(r.takeSnapshot())
	}
	if !changed {
		return
	}
	r.published = states
	if r.OnEngines != nil {
		r.OnEngines(slices.Clone(states))
	}
}

func (r *Reconciler) takeSnapshot() *Snapshot {
	s := &Snapshot{Pool: r.Pool, Replicas: make(map[string]int)}
	for _, es := range r.engineStates {
		e := EngineSnapshot{
			Name: es.spec.Name, Up: es.up(), Leaving: es.status.Leaving, Owned: es.takenOver, Items: es.readyItems(),
		}
		if es.led != nil {
			e.CapacityMB = es.led.CapacityMB()
			e.ReservedMB = es.led.ReservedMB()
			e.InDoubt = es.led.InDoubt()
		}
		s.InDoubt += len(e.InDoubt)
		for _, item := range e.Items {
			if e.Up && r.inDocument(item) {
				s.Replicas[item]++
			}
		}
		s.Engines = append(s.Engines, e)
	}
	r.Stats.SetGauge("orders_in_doubt", int64(s.InDoubt))
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
