package resid_test

import (
	"testing"

	"github.com/figreel/figreel/internal/resid"
	"github.com/figreel/figreel/internal/topo"
)

var kind = &topo.EngineSpec{
	MemoryMB: 230, AdapterSlots: 2,
	Models: []topo.Model{
		{Name: "m1", MemoryMB: 100, AdapterMB: 5},
		{Name: "m2", MemoryMB: 100, AdapterMB: 5},
		{Name: "m3", MemoryMB: 100},
	},
}

// Guards against orders beyond an engine's memory or adapter places after orders that were lost, late or refused.
func TestFits(t *testing.T) {
	full := &topo.Report{Sequence: 4, Models: []topo.Resident{{Name: "m1", Adapters: []string{"a1", "a2"}}, {Name: "m2"}}}
	for _, tt := range []struct {
		name string
		do   func(c *resid.Set)
		ask  topo.Order
		want bool
	}{
		{"nothing known", func(*resid.Set) {}, topo.Order{Model: "m1"}, false},
		{"no memory", func(c *resid.Set) { c.ApplyReport(full) }, topo.Order{Model: "m3"}, false},
		{"no place", func(c *resid.Set) { c.ApplyReport(full) }, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer", func(c *resid.Set) {
			c.ApplyReport(full)
			c.Invalidate()
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer, then a report from before it", func(c *resid.Set) {
			c.ApplyReport(full)
			c.Invalidate()
			c.ApplyReport(full)
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"place made", func(c *resid.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&topo.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4})
		}, topo.Order{Model: "m2", Adapter: "a3"}, true},
		{"incoming adapter counts", func(c *resid.Set) {
			c.ApplyReport(&topo.Report{
				Models: []topo.Resident{{Name: "m1", Adapters: []string{"a1"}}}, LoadingAdapters: []topo.Adapter{{Model: "m1", Name: "a7"}},
			})
		}, topo.Order{Model: "m1", Adapter: "a3"}, false},
		{"model on its way counts while busy", func(c *resid.Set) {
			c.ApplyReport(&topo.Report{Sequence: 1, Models: []topo.Resident{{Name: "m1"}}})
			c.ApplyOrder(&topo.Order{Model: "m2", ExpectedSequence: 1})
			c.ApplyReport(&topo.Report{Sequence: 2, Busy: true, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, false},
		{"unknown order being carried out", func(c *resid.Set) {
			c.ApplyReport(&topo.Report{Sequence: 2, Busy: true, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, false},
		{"unloaded model takes room until reported", func(c *resid.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&topo.Order{Unload: true, Model: "m2", ExpectedSequence: 4})
		}, topo.Order{Model: "m3"}, false},
		{"unloaded model reported gone", func(c *resid.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&topo.Order{Unload: true, Model: "m2", ExpectedSequence: 4})
			c.ApplyReport(&topo.Report{Sequence: 5, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, true},
		{"older report is ignored", func(c *resid.Set) {
			c.ApplyReport(full)
			c.ApplyReport(&topo.Report{Sequence: 3})
		}, topo.Order{Model: "m3"}, false},
	} {
		var c resid.Set
		tt.do(&c)
		if got := c.Fits(kind, &tt.ask); got != tt.want {
			t.Errorf("%s: fits %v, want %v", tt.name, got, tt.want)
		}
	}
}
