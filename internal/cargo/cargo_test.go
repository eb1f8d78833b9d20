package cargo_test

import (
	"testing"

	"github.com/figreel/figreel/internal/cargo"
	"github.com/figreel/figreel/internal/site"
)

var kind = &site.EngineSpec{
	MemoryMB: 230, AdapterSlots: 2,
	Models: []site.Model{
		{Name: "m1", MemoryMB: 100, AdapterMB: 5},
		{Name: "m2", MemoryMB: 100, AdapterMB: 5},
		{Name: "m3", MemoryMB: 100},
	},
}

// Guards against orders beyond an engine's memory or adapter places after orders that were lost, late or refused.
func TestFits(t *testing.T) {
	full := &site.Report{Sequence: 4, Models: []site.Resident{{Name: "m1", Adapters: []string{"a1", "a2"}}, {Name: "m2"}}}
	for _, tt := range []struct {
		name string
		do   func(c *cargo.Set)
		ask  site.Order
		want bool
	}{
		{"nothing known", func(*cargo.Set) {}, site.Order{Model: "m1"}, false},
		{"no memory", func(c *cargo.Set) { c.ApplyReport(full) }, site.Order{Model: "m3"}, false},
		{"no place", func(c *cargo.Set) { c.ApplyReport(full) }, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.Invalidate()
		}, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer, then a report from before it", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.Invalidate()
			c.ApplyReport(full)
		}, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"place made", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&site.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4})
		}, site.Order{Model: "m2", Adapter: "a3"}, true},
		{"incoming adapter counts", func(c *cargo.Set) {
			c.ApplyReport(&site.Report{
				Models: []site.Resident{{Name: "m1", Adapters: []string{"a1"}}}, LoadingAdapters: []site.Adapter{{Model: "m1", Name: "a7"}},
			})
		}, site.Order{Model: "m1", Adapter: "a3"}, false},
		{"model on its way counts while busy", func(c *cargo.Set) {
			c.ApplyReport(&site.Report{Sequence: 1, Models: []site.Resident{{Name: "m1"}}})
			c.ApplyOrder(&site.Order{Model: "m2", ExpectedSequence: 1})
			c.ApplyReport(&site.Report{Sequence: 2, Busy: true, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, false},
		{"unknown order being carried out", func(c *cargo.Set) {
			c.ApplyReport(&site.Report{Sequence: 2, Busy: true, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, false},
		{"unloaded model takes room until reported", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&site.Order{Unload: true, Model: "m2", ExpectedSequence: 4})
		}, site.Order{Model: "m3"}, false},
		{"unloaded model reported gone", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.ApplyOrder(&site.Order{Unload: true, Model: "m2", ExpectedSequence: 4})
			c.ApplyReport(&site.Report{Sequence: 5, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, true},
		{"older report is ignored", func(c *cargo.Set) {
			c.ApplyReport(full)
			c.ApplyReport(&site.Report{Sequence: 3})
		}, site.Order{Model: "m3"}, false},
	} {
		var c cargo.Set
		tt.do(&c)
		if got := c.Fits(kind, &tt.ask); got != tt.want {
			t.Errorf("%s: fits %v, want %v", tt.name, got, tt.want)
		}
	}
}
