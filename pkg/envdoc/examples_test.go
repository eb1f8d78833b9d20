package envdoc_test

import (
	"os"
	"testing"
)

// Guards against example documents that are invalid, or whose numbers of models, adapters or engines changed.
func TestExamples(t *testing.T) {
	for _, tt := range []struct {
		file                   string
		models, adapters       int
		engines, nonIdempotent []int // engines per pool, and the indexes of non-idempotent services
	}{
		{"rehat.yaml", 20, 75, []int{12, 3}, []int{0, 1}},
		{"cooperative.yaml", 30, 110, []int{18, 3}, []int{0}},
	} {
		body, err := os.ReadFile("../../examples/" + tt.file)
		if err != nil {
			t.Fatal(err)
		}
		d := parse(t, string(body))
		if len(d.Models) != tt.models || len(d.Adapters) != tt.adapters || len(d.Targets()) != tt.models+tt.adapters {
			t.Errorf("%s: %d models, %d adapters", tt.file, len(d.Models), len(d.Adapters))
		}
		for i, n := range tt.engines {
			if len(d.Pools[i].Engines) != n {
				t.Errorf("%s: pool %s has %d engines, want %d", tt.file, d.Pools[i].Name, len(d.Pools[i].Engines), n)
			}
		}
		for _, i := range tt.nonIdempotent {
			if !d.Services[i].NotRepeatable {
				t.Errorf("%s: service %s is idempotent", tt.file, d.Services[i].Name)
			}
		}
	}
}
