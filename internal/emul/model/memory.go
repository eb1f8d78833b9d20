package model

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/xhttp"
)

// pullTimeout limits a load from a weight store that does not respond; the item is then removed from memory.
const pullTimeout = 10 * time.Minute

// handleOrder applies an order and responds with its result.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	reason := e.apply(o)
	if reason == "" {
		e.lastOrderID = o.ID
	}
	out := engine.OrderResult{Applied: reason == "", Reason: reason, Fence: e.fence, BootID: e.bootID, Seq: e.seq}
	e.record.Orders = append(e.record.Orders, o)
	e.record.Results = append(e.record.Results, out)
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// apply executes the order and returns an empty string, or the reason for rejecting it. Orders are idempotent.
func (e *Engine) apply(o engine.Order) string {
	if e.ChecksFencing && o.Fence < e.fence {
		return "fence"
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.LoadModel:
		return e.startLoad(o, false)
	case engine.LoadAdapter:
		if m := e.items[o.Model]; m == nil || m.State == engine.Unloading {
			return "model_absent"
		}
		return e.startLoad(o, true)
	case engine.UnloadModel:
		for name, it := range e.items {
			if it.baseModel == o.Item {
				e.startUnload(name)
			}
		}
		e.startUnload(o.Item)
	case engine.UnloadAdapter:
		e.startUnload(o.Item)
	case engine.SetRole:
		e.role = o.Role
	case engine.Sync:
	default:
		return "unknown_kind"
	}
	return ""
}

// startLoad adds the item to memory and loads it in the background; it returns the reason for a rejection, as apply
// does.
func (e *Engine) startLoad(o engine.Order, adapter bool) string {
	if it := e.items[o.Item]; it != nil {
		if it.State == engine.Unloading {
			return "unloading"
		}
		return ""
	}
	it := &memoryItem{
		Item:      engine.Item{Name: o.Item, Adapter: adapter, MemoryMB: o.MemoryMB, State: engine.Loading},
		baseModel: o.Model,
	}
	e.items[o.Item] = it
	e.record.Loads++
	e.recordMemoryUse()
	d := e.LoadTime
	if adapter {
		d = e.AdapterTime
	}
	if e.WeightURL != "" {
		go func() { e.finishLoad(it, e.pullWeights(it.Item)) }()
		return ""
	}
	time.AfterFunc(d, func() { e.finishLoad(it, true) })
	return ""
}

// recordMemoryUse records the peak of the memory in use and counts overcommits.
func (e *Engine) recordMemoryUse() {
	used := e.usedMB()
	e.record.PeakMB = max(e.record.PeakMB, used)
	if used > e.MemoryMB {
		e.record.Overcommits++
		e.record.WorstOvercommitMB = max(e.record.WorstOvercommitMB, used-e.MemoryMB)
	}
}

// finishLoad makes the item resident if ok, and removes it from memory otherwise. It does nothing if the item was
// unloaded meanwhile or if the engine was restarted.
func (e *Engine) finishLoad(it *memoryItem, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.items[it.Name] != it || it.State != engine.Loading {
		return
	}
	if ok {
		it.State = engine.Resident
		return
	}
	delete(e.items, it.Name)
}

// pullWeights loads the item from the weight store and reports whether it succeeded.
func (e *Engine) pullWeights(it engine.Item) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	r, err := xhttp.NewRequest(ctx, http.MethodPost, e.WeightURL+"/v1/pull", it)
	if err != nil {
		return false
	}
	resp, err := e.Client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// startUnload marks the item as unloading and removes it after UnloadTime.
func (e *Engine) startUnload(name string) {
	it := e.items[name]
	if it == nil || it.State == engine.Unloading {
		return
	}
	it.State = engine.Unloading
	time.AfterFunc(e.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.items[name] == it {
			delete(e.items, name)
		}
	})
}

func (e *Engine) usedMB() int {
	sum := 0
	for _, it := range e.items {
		sum += it.MemoryMB
	}
	return sum
}

// isResident reports whether an item with the name is resident; the name may omit the version ("m" matches "m@1").
func (e *Engine) isResident(name string) bool {
	for _, it := range e.items {
		unversioned, _, _ := strings.Cut(it.Name, "@")
		if it.State == engine.Resident && (it.Name == name || unversioned == name) {
			return true
		}
	}
	return false
}
