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

// pullTimeout ends a load whose weight store does not answer; the item is then dropped.
const pullTimeout = 10 * time.Minute

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	reason := e.apply(o)
	if reason == "" {
		e.lastID = o.ID
	}
	out := engine.OrderResult{Applied: reason == "", Reason: reason, Fence: e.fence, BootID: e.boot, Seq: e.seq}
	e.record.Orders = append(e.record.Orders, o)
	e.record.Results = append(e.record.Results, out)
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// apply carries out the order and returns why it does not; repeating an order that holds already changes nothing.
func (e *Engine) apply(o engine.Order) string {
	if e.ChecksFencing && o.Fence < e.fence {
		return "fence"
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.LoadModel:
		return e.load(o, false)
	case engine.LoadAdapter:
		if m := e.items[o.Model]; m == nil || m.State == engine.Unloading {
			return "model_absent"
		}
		return e.load(o, true)
	case engine.UnloadModel:
		for name, it := range e.items {
			if it.model == o.Item {
				e.unload(name)
			}
		}
		e.unload(o.Item)
	case engine.UnloadAdapter:
		e.unload(o.Item)
	case engine.SetRole:
		e.role = o.Role
	case engine.Sync:
	default:
		return "unknown_kind"
	}
	return ""
}

func (e *Engine) load(o engine.Order, adapter bool) string {
	if it := e.items[o.Item]; it != nil {
		if it.State == engine.Unloading {
			return "unloading"
		}
		return ""
	}
	it := &held{
		Item:  engine.Item{Name: o.Item, Adapter: adapter, MemoryMB: o.MemoryMB, State: engine.Loading},
		model: o.Model,
	}
	e.items[o.Item] = it
	e.record.Loads++
	e.account()
	d := e.LoadTime
	if adapter {
		d = e.AdapterTime
	}
	if e.WeightURL != "" {
		go func() { e.loaded(it, e.pullWeights(it.Item)) }()
		return ""
	}
	time.AfterFunc(d, func() { e.loaded(it, true) })
	return ""
}

// account records the memory in use, and any overcommit.
func (e *Engine) account() {
	used := e.used()
	e.record.PeakMB = max(e.record.PeakMB, used)
	if used > e.MemoryMB {
		e.record.Overcommits++
		e.record.WorstOvercommitMB = max(e.record.WorstOvercommitMB, used-e.MemoryMB)
	}
}

// loaded makes the item resident; without its weights the item is dropped.
func (e *Engine) loaded(it *held, ok bool) {
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

func (e *Engine) pullWeights(it engine.Item) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	r, err := xhttp.NewRequest(ctx, http.MethodPost, e.WeightURL+"/v1/pull", it)
	if err != nil {
		return false
	}
	resp, err := e.Client.DoNewConn(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (e *Engine) unload(name string) {
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

func (e *Engine) used() int {
	sum := 0
	for _, it := range e.items {
		sum += it.MemoryMB
	}
	return sum
}

// resident accepts an item by its full name, or by its name without the version.
func (e *Engine) resident(name string) bool {
	for _, it := range e.items {
		bare, _, _ := strings.Cut(it.Name, "@")
		if it.State == engine.Resident && (it.Name == name || bare == name) {
			return true
		}
	}
	return false
}
