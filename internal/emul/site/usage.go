package site

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

type (
	// Usage is what one workspace asked for and got, in calls.
	Usage struct {
		Workspace *Workspace
		Asked     int
		// Within is the number of calls that the quota allows, as asked for one after the other.
		Within  int
		Served  int
		Refused map[string]int // by reason, or by how calls failed

		level  float64 // of a token bucket with the quota, at the time of the newest call
		asked  time.Duration
		begun  map[string]bool // calls that ran
		use    []use
		faults []string // calls that reached an upstream with wrong headers
	}

	// use is the units of a call and when it began to run for the first time.
	use struct {
		at    time.Duration
		units float64
	}
)

// newUsages returns the usage of each workspace by its name.
func newUsages(list []Workspace) map[string]*Usage {
	out := make(map[string]*Usage, len(list))
	for i := range list {
		w := &list[i]
		out[w.Name] = &Usage{
			Workspace: w, Refused: make(map[string]int), begun: make(map[string]bool), level: w.Quota.Burst,
		}
	}
	return out
}

// Usages returns the usage of each workspace, by name.
func (r *Report) Usages() []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Usage
	for _, u := range r.sorted() {
		c := *u
		c.Refused = maps.Clone(u.Refused)
		out = append(out, c)
	}
	return out
}

// sorted returns the usages by name; r.mu is held.
func (r *Report) sorted() []*Usage {
	return slices.SortedFunc(maps.Values(r.usages), func(a, b *Usage) int {
		return cmp.Compare(a.Workspace.Name, b.Workspace.Name)
	})
}

// Breaches returns where upstreams got calls of a wrong workspace or with credentials, and where more units of a
// workspace ran in a window than its quota and the bounds allow.
func (r *Report) Breaches() []string {
	var out []string
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.sorted() {
		out = append(out, u.faults...)
		if most, limit := u.mostUnits(), allowedUnits(&u.Workspace.Quota); most > limit {
			out = append(out, fmt.Sprintf("%s: %.0f units ran within %v, allowed are %.0f", u.Workspace.Name, most,
				quotaBounds.Window, limit))
		}
	}
	return out
}

// allowedUnits returns how many units of a workspace may run in any window.
func allowedUnits(q *topo.Quota) float64 {
	return (q.Rate*quotaBounds.Window.Seconds()+q.Burst)*(1+quotaBounds.Overage) + quotaBounds.Slack
}

// mostUnits returns the largest number of units that ran in a window.
func (u *Usage) mostUnits() float64 {
	slices.SortFunc(u.use, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, e := range u.use {
		for sum += e.units; u.use[first].at <= e.at-quotaBounds.Window; first++ {
			sum -= u.use[first].units
		}
		most = max(most, sum)
	}
	return most
}

// ask counts a call that a caller sends.
func (r *Report) ask(w *Workspace, units float64, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usages[w.Name]
	u.Asked++
	u.level = min(u.level+w.Quota.Rate*(at-u.asked).Seconds(), w.Quota.Burst)
	if u.asked = at; u.level >= units {
		u.level -= units
		u.Within++
	}
}

// tell counts what the caller of a workspace got.
func (r *Report) tell(w *Workspace, served bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.usages[w.Name]; served {
		u.Served++
	} else {
		u.Refused[reason]++
	}
}

// check compares the header that reached an upstream with the workspace that the call was sent for, and counts the
// units of the call if it is to run.
func (r *Report) check(h http.Header, upstream string, runs bool, at time.Duration) {
	if len(r.usages) == 0 {
		return
	}
	id := h.Get(headerID)
	call, _, _ := strings.Cut(id, "@")
	_, name, _ := strings.Cut(call, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usages[name]
	if u == nil {
		u = r.sorted()[0]
		u.faults = append(u.faults, fmt.Sprintf("%s: call %q of no workspace", upstream, id))
		return
	}
	if got := h.Values(headerWorkspace); len(got) != 1 || got[0] != name {
		u.faults = append(u.faults, fmt.Sprintf("%s: call %q with the workspaces %q", upstream, id, got))
	}
	if h.Values(headerKey) != nil {
		u.faults = append(u.faults, fmt.Sprintf("%s: call %q with credentials", upstream, id))
	}
	if !runs || u.begun[id] {
		return
	}
	u.begun[id] = true
	spec, _ := parseSpec(h)
	units := u.Workspace.Quota.Cost(spec.PromptTokens, spec.StatedOutput, h.Get(headerTokens) == "")
	u.use = append(u.use, use{at, units})
}

// writeUsages prints a line for each workspace; r.mu is held.
func (r *Report) writeUsages(w io.Writer) {
	for _, u := range r.sorted() {
		fmt.Fprintf(w, "workspace %s\tpriority %d, load x%g\tasked %d, within quota %d, served %d\trefused",
			u.Workspace.Name, u.Workspace.Priority, u.Workspace.Load, u.Asked, u.Within, u.Served)
		for _, reason := range slices.Sorted(maps.Keys(u.Refused)) {
			fmt.Fprintf(w, " %s %d", reason, u.Refused[reason])
		}
		fmt.Fprintln(w)
	}
}
