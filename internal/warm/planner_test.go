package warm

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/pkg/envdoc"
)

// TestFillsFreeMemory guards against free memory that stays unused, loads that exceed an engine's memory, and spare
// replicas of models in low demand instead of those in high demand.
func TestFillsFreeMemory(t *testing.T) {
	tests := []struct {
		name   string
		usable int
		want   string
	}{
		{"memory for one more", 40_000, "hot@1"},
		{"no memory", 21_000, ""},
	}
	for _, tt := range tests {
		in := plan.Input{
			Models: []envdoc.Model{
				{Name: "cold", Version: "1", MemoryMB: 10_000, MinCopies: 2},
				{Name: "hot", Version: "1", MemoryMB: 10_000, MinCopies: 2},
			},
			Demand: []pool.Demand{{Item: "hot@1", TokensPerS: 400}, {Item: "cold@1", TokensPerS: 10}},
		}
		for _, name := range []string{"e0", "e1", "e2"} {
			in.Engines = append(in.Engines, plan.Engine{
				State: pool.EngineState{Name: name, FailureDomain: name, Up: true}, UsableMB: tt.usable,
			})
		}
		for i := range 2 {
			e := &in.Engines[i]
			e.ReservedMB = 20_000
			for _, m := range in.Models {
				e.Replicas = append(e.Replicas, plan.Replica{Item: m.Item(), MemoryMB: m.MemoryMB, Ready: true})
			}
		}
		in.Engines[2].ReservedMB = 10_000
		p := &Planner{}
		now := time.Unix(0, 0)
		p.Plan(now, in)
		got := ""
		for _, m := range p.Plan(now.Add(time.Second), in) {
			if m.Reason == reasonPrewarm {
				got = m.Item
			}
		}
		if got != tt.want {
			t.Errorf("%s: loads %q, want %q", tt.name, got, tt.want)
		}
	}
}
