package cargo_test

import (
	"testing"

	"github.com/figreel/figreel/internal/cargo"
	"github.com/figreel/figreel/internal/site"
)

var kind = &site.EngineKind{
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
		do   func(c *cargo.Cargo)
		ask  site.Order
		want bool
	}{
		{"nothing known", func(*cargo.Cargo) {}, site.Order{Model: "m1"}, false},
		{"no memory", func(c *cargo.Cargo) { c.Report(full) }, site.Order{Model: "m3"}, false},
		{"no place", func(c *cargo.Cargo) { c.Report(full) }, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer", func(c *cargo.Cargo) {
			c.Report(full)
			c.Doubt()
		}, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without an answer, then a report from before it", func(c *cargo.Cargo) {
			c.Report(full)
			c.Doubt()
			c.Report(full)
		}, site.Order{Model: "m2", Adapter: "a3"}, false},
		{"place made", func(c *cargo.Cargo) {
			c.Report(full)
			c.Accepted(&site.Order{Unload: true, Model: "m1", Adapter: "a1", Expected: 4})
		}, site.Order{Model: "m2", Adapter: "a3"}, true},
		{"incoming adapter counts", func(c *cargo.Cargo) {
			c.Report(&site.Report{
				Models: []site.Resident{{Name: "m1", Adapters: []string{"a1"}}}, Incoming: []site.Adapter{{Model: "m1", Name: "a7"}},
			})
		}, site.Order{Model: "m1", Adapter: "a3"}, false},
		{"model on its way counts while busy", func(c *cargo.Cargo) {
			c.Report(&site.Report{Sequence: 1, Models: []site.Resident{{Name: "m1"}}})
			c.Accepted(&site.Order{Model: "m2", Expected: 1})
			c.Report(&site.Report{Sequence: 2, Busy: true, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, false},
		{"unknown order being carried out", func(c *cargo.Cargo) {
			c.Report(&site.Report{Sequence: 2, Busy: true, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, false},
		{"unloaded model takes room until reported", func(c *cargo.Cargo) {
			c.Report(full)
			c.Accepted(&site.Order{Unload: true, Model: "m2", Expected: 4})
		}, site.Order{Model: "m3"}, false},
		{"unloaded model reported gone", func(c *cargo.Cargo) {
			c.Report(full)
			c.Accepted(&site.Order{Unload: true, Model: "m2", Expected: 4})
			c.Report(&site.Report{Sequence: 5, Models: []site.Resident{{Name: "m1"}}})
		}, site.Order{Model: "m3"}, true},
		{"older report is ignored", func(c *cargo.Cargo) {
			c.Report(full)
			c.Report(&site.Report{Sequence: 3})
		}, site.Order{Model: "m3"}, false},
	} {
		var c cargo.Cargo
		tt.do(&c)
		if got := c.Fits(kind, &tt.ask); got != tt.want {
			t.Errorf("%s: fits %v, want %v", tt.name, got, tt.want)
		}
	}
}
