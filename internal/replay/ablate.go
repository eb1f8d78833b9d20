package replay

import (
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/trace"
)

// parts are what can be switched off; prefetch is a part of placement.
var parts = []string{"lanes", "fairness", "stragglers", "affinity", "hedging", prefetch}

const prefetch = "prefetch"

// Policy is the policy that is measured.
type Policy struct {
	pool.Tunables
	// NoPrefetch leaves placement to the planner alone.
	NoPrefetch bool
}

// Without returns t with the named parts switched off.
func Without(t Policy, names []string) (Policy, error) {
	for _, name := range names {
		if !slices.Contains(parts, name) {
			return t, errors.Errorf("the policy has no part %q; its parts are %v", name, parts)
		}
		t.NoPrefetch = t.NoPrefetch || name == prefetch
		t.NoLanes = t.NoLanes || name == "lanes"
		t.NoFairness = t.NoFairness || name == "fairness"
		t.NoStragglers = t.NoStragglers || name == "stragglers"
		t.NoAffinity = t.NoAffinity || name == "affinity"
		t.NoHedging = t.NoHedging || name == "hedging"
	}
	return t, nil
}

// Ablate writes the measures of the whole policy and of the policy without each of its parts.
func Ablate(w io.Writer, set *trace.Workload, calls []trace.Call) error {
	var names []string
	for _, part := range append([]string{""}, parts...) {
		var off []string
		if part != "" {
			off = []string{part}
		}
		policy, err := Without(Policy{}, off)
		if err != nil {
			return err
		}
		m := Evaluate(set, calls, policy).Metrics
		if names == nil {
			for name := range m {
				names = append(names, name)
			}
			slices.Sort(names)
			header(w, names)
		}
		if part == "" {
			part = "(nothing)"
		}
		fmt.Fprintf(w, "| %s |", part)
		for _, name := range names {
			fmt.Fprintf(w, " %.3f |", m[name])
		}
		fmt.Fprintln(w)
	}
	return nil
}

func header(w io.Writer, names []string) {
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
