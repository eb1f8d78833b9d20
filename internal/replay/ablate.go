package replay

import (
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/trace"
)

// components lists the parts of the policy that can be switched off; prefetch belongs to placement, the others to the
// dispatcher.
var components = []string{"lanes", "fairness", "stragglers", "affinity", "hedging", prefetch}

const prefetch = "prefetch"

// Policy selects the components of the dispatcher and planner under test; the zero value enables all.
type Policy struct {
	pool.Tunables
	// NoPrefetch switches off loading in advance (package warm) and uses the plain planner.
	NoPrefetch bool
}

// Without returns t with the named components switched off, or an error for an unknown name.
func Without(t Policy, names []string) (Policy, error) {
	for _, name := range names {
		if !slices.Contains(components, name) {
			return t, errors.Errorf("unknown policy component %q; the components are %v", name, components)
		}
		t.NoPrefetch = t.NoPrefetch || name == prefetch
		t.NoLongLimit = t.NoLongLimit || name == "lanes"
		t.NoFairness = t.NoFairness || name == "fairness"
		t.NoStragglers = t.NoStragglers || name == "stragglers"
		t.NoAffinity = t.NoAffinity || name == "affinity"
		t.NoHedging = t.NoHedging || name == "hedging"
	}
	return t, nil
}

// Ablate writes a markdown table with the metrics of the whole policy and of the policy without each component.
func Ablate(w io.Writer, workload *trace.Workload, calls []trace.Call) error {
	var names []string
	for _, component := range append([]string{""}, components...) {
		var off []string
		if component != "" {
			off = []string{component}
		}
		policy, err := Without(Policy{}, off)
		if err != nil {
			return err
		}
		m := Evaluate(workload, calls, policy).Metrics
		if names == nil {
			for name := range m {
				names = append(names, name)
			}
			slices.Sort(names)
			writeHeader(w, names)
		}
		if component == "" {
			component = "(nothing)"
		}
		fmt.Fprintf(w, "| %s |", component)
		for _, name := range names {
			fmt.Fprintf(w, " %.3f |", m[name])
		}
		fmt.Fprintln(w)
	}
	return nil
}

func writeHeader(w io.Writer, names []string) {
	fmt.Fprint(w, "| without |")
	for _, name := range names {
		fmt.Fprintf(w, " %s |", name)
	}
	fmt.Fprint(w, "\n|---|")
	for range names {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w)
}
