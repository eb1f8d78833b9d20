package resid_test

import (
	"testing"

	"github.com/figreel/figreel/internal/resid"
	"github.com/figreel/figreel/internal/topo"
)

var spec = &topo.EngineSpec{
	MemoryMB: 230, AdapterSlots: 2,
	Models: []topo.Model{
		{Name: "m1", MemoryMB: 100, AdapterMB: 5},
		{Name: "m2", MemoryMB: 100, AdapterMB: 5},
		{Name: "m3", MemoryMB: 100},
	},
}

// Guards against loads beyond an engine's memory or adapter slots after orders that were lost, late or rejected.
func TestFits(t *testing.T) {
	full := &topo.Report{Sequence: 4, Models: []topo.Resident{{Name: "m1", Adapters: []string{"a1", "a2"}}, {Name: "m2"}}}
	for _, tt := range []struct {
		name  string
		do    func(s *resid.Set)
		order topo.Order
		want  bool
	}{
		{"nothing known", func(*resid.Set) {}, topo.Order{Model: "m1"}, false},
		{"no memory", func(s *resid.Set) { s.ApplyReport(full) }, topo.Order{Model: "m3"}, false},
		{"no adapter slot", func(s *resid.Set) { s.ApplyReport(full) }, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without a response", func(s *resid.Set) {
			s.ApplyReport(full)
			s.Invalidate()
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"unload without a response, then a report from before it", func(s *resid.Set) {
			s.ApplyReport(full)
			s.Invalidate()
			s.ApplyReport(full)
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"adapter slot freed", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4}, topo.OrderNoChange)
		}, topo.Order{Model: "m2", Adapter: "a3"}, true},
		{"adapter that is being loaded counts", func(s *resid.Set) {
			s.ApplyReport(&topo.Report{
				Models: []topo.Resident{{Name: "m1", Adapters: []string{"a1"}}}, LoadingAdapters: []topo.Adapter{{Model: "m1", Name: "a7"}},
			})
		}, topo.Order{Model: "m1", Adapter: "a3"}, false},
		{"model that is being loaded counts while busy", func(s *resid.Set) {
			s.ApplyReport(&topo.Report{Sequence: 1, Models: []topo.Resident{{Name: "m1"}}})
			s.ApplyOrder(&topo.Order{Model: "m2", ExpectedSequence: 1}, topo.OrderAccepted)
			s.ApplyReport(&topo.Report{Sequence: 2, Busy: true, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, false},
		{"unknown order being executed", func(s *resid.Set) {
			s.ApplyReport(&topo.Report{Sequence: 2, Busy: true, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, false},
		{"unloaded model occupies memory until reported", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m2", ExpectedSequence: 4}, topo.OrderAccepted)
		}, topo.Order{Model: "m3"}, false},
		{"unloaded model is no longer reported", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m2", ExpectedSequence: 4}, topo.OrderAccepted)
			s.ApplyReport(&topo.Report{Sequence: 5, Models: []topo.Resident{{Name: "m1"}}})
		}, topo.Order{Model: "m3"}, true},
		{"an adapter in use is to be unloaded", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4}, topo.OrderAccepted)
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"an adapter in use is to be unloaded and still reported", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4}, topo.OrderAccepted)
			s.ApplyReport(&topo.Report{Sequence: 5, Models: full.Models})
		}, topo.Order{Model: "m2", Adapter: "a3"}, false},
		{"an adapter that was in use is no longer reported", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyOrder(&topo.Order{Unload: true, Model: "m1", Adapter: "a1", ExpectedSequence: 4}, topo.OrderAccepted)
			s.ApplyReport(&topo.Report{Sequence: 5, Models: []topo.Resident{{Name: "m1", Adapters: []string{"a2"}}, {Name: "m2"}}})
		}, topo.Order{Model: "m2", Adapter: "a3"}, true},
		{"older report is ignored", func(s *resid.Set) {
			s.ApplyReport(full)
			s.ApplyReport(&topo.Report{Sequence: 3})
		}, topo.Order{Model: "m3"}, false},
	} {
		var s resid.Set
		tt.do(&s)
		if got := s.Fits(spec, &tt.order, nil); got != tt.want {
			t.Errorf("%s: fits %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against loads that leave no room for an order to an earlier instance of the engine, which this one may still
// carry out when it has accepted as many orders as that one expects.
func TestFitsBesideLateOrders(t *testing.T) {
	one := &topo.Report{Sequence: 1, Models: []topo.Resident{{Name: "m1", Adapters: []string{"a1"}}}}
	two := &topo.Report{Sequence: 4, Models: []topo.Resident{{Name: "m1"}, {Name: "m2"}}}
	for _, tt := range []struct {
		name   string
		report *topo.Report
		order  topo.Order
		late   []topo.Order
		want   bool
	}{
		{"room", &topo.Report{}, topo.Order{Model: "m1"}, []topo.Order{{Model: "m2", ExpectedSequence: 1}}, true},
		{"no room", one, topo.Order{Model: "m2"}, []topo.Order{{Model: "m3", ExpectedSequence: 2}}, false},
		{"its turn is over", one, topo.Order{Model: "m2"}, []topo.Order{{Model: "m3", ExpectedSequence: 1}}, true},
		{"its turn comes later", one, topo.Order{Model: "m2"}, []topo.Order{{Model: "m3", ExpectedSequence: 3}}, true},
		{"resident", one, topo.Order{Model: "m2"}, []topo.Order{{Model: "m1", ExpectedSequence: 2}}, true},
		{"unload", one, topo.Order{Model: "m2"}, []topo.Order{{Unload: true, Model: "m1", ExpectedSequence: 2}}, true},
		{"two in a row", &topo.Report{}, topo.Order{Model: "m1"}, []topo.Order{
			{Model: "m3", ExpectedSequence: 2}, {Model: "m2", ExpectedSequence: 1},
		}, false},
		{"two for one turn", &topo.Report{}, topo.Order{Model: "m1"}, []topo.Order{
			{Model: "m3", ExpectedSequence: 1}, {Model: "m2", ExpectedSequence: 1},
		}, true},
		{"after an unload, whose memory may be in use", two, topo.Order{Unload: true, Model: "m2"}, []topo.Order{
			{Model: "m3", ExpectedSequence: 5},
		}, false},
		{"no adapter slot", one, topo.Order{Model: "m1", Adapter: "a2"}, []topo.Order{
			{Model: "m1", Adapter: "a3", ExpectedSequence: 2},
		}, false},
	} {
		var s resid.Set
		s.ApplyReport(tt.report)
		if got := s.Fits(spec, &tt.order, tt.late); got != tt.want {
			t.Errorf("%s: fits %v, want %v", tt.name, got, tt.want)
		}
	}
}
