package site

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

const (
	// limitWindow, limitFactor and limitSlack bound the calls beyond a limit: in each window at most limitFactor times
	// what the limit allows and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// learnTime is how long after its first statement of a limit an upstream may get more.
	learnTime = 2 * time.Second
	// transitTime is the time that a response may take to the host that acts on it.
	transitTime = 500 * time.Millisecond
)

type (
	// Report is what has happened in a run.
	Report struct {
		statements []Statement

		mu       sync.Mutex
		seen     map[pair]*counts
		outcomes map[string]int // calls by status, or how they failed
		usages   map[string]*Usage
	}

	// Violation is a statement that calls did not follow.
	Violation struct {
		Statement Statement
		Host      string // empty for a limit, which counts for all hosts
		Calls     int    // too many
		// Window is the start of the window with the most calls, for a limit.
		Window time.Duration
	}

	// pair is an upstream and a process of a host.
	pair struct{ upstream, host string }

	counts struct {
		arrivals []time.Duration
		stated   map[int][]time.Duration // when responses with a statement were sent, by its index
	}
)

func (r *Report) countsOf(p pair) *counts {
	c := r.seen[p]
	if c == nil {
		c = &counts{stated: make(map[int][]time.Duration)}
		r.seen[p] = c
	}
	return c
}

func (r *Report) arrive(p pair, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsOf(p)
	c.arrivals = append(c.arrivals, at)
}

func (r *Report) state(statements []int, p pair, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsOf(p)
	for _, i := range statements {
		c.stated[i] = append(c.stated[i], at)
	}
}

func (r *Report) end(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = make(map[string]int)
	}
	r.outcomes[outcome]++
}

// Outcomes returns the number of calls by status, or by how they failed.
func (r *Report) Outcomes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.outcomes)
}

// Violations returns the statements that calls did not follow.
func (r *Report) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Violation
	for i, st := range r.statements {
		if st.Limit > 0 {
			if n, at := r.excess(i, st); n > 0 {
				out = append(out, Violation{Statement: st, Calls: n, Window: at})
			}
		}
		for p, c := range r.seen {
			if p.upstream != st.Upstream || len(c.stated[i]) == 0 {
				continue
			}
			if n := c.late(i, st); n > 0 {
				out = append(out, Violation{Statement: st, Host: p.host, Calls: n})
			}
		}
	}
	return out
}

// excess returns the largest number of calls beyond a limit in a window, over all hosts, and the start of that window.
func (r *Report) excess(i int, st Statement) (worst int, window time.Duration) {
	var all []time.Duration
	first := st.Until
	for p, c := range r.seen {
		if p.upstream == st.Upstream {
			all = append(all, c.arrivals...)
			if len(c.stated[i]) > 0 {
				first = min(first, c.stated[i][0])
			}
		}
	}
	slices.Sort(all)
	allowed := int(limitFactor*st.Limit*limitWindow.Seconds()) + limitSlack
	for j, at := range all {
		if at < first+learnTime || at+limitWindow > st.Until {
			continue
		}
		n, _ := slices.BinarySearch(all[j:], at+limitWindow)
		if n-allowed > worst {
			worst, window = n-allowed, at
		}
	}
	return worst, window
}

// late returns the number of calls that a host has sent although the upstream had told it that it is leaving, or that
// it wants none for a while.
func (c *counts) late(i int, st Statement) int {
	n := 0
	for _, at := range c.arrivals {
		told := slices.ContainsFunc(c.stated[i], func(stated time.Duration) bool {
			after := at > stated+transitTime
			return after && (st.Leaving || at < stated+st.Hold)
		})
		if told {
			n++
		}
	}
	return n
}

// Write prints the calls of each upstream by host, and the violations.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r.mu.Lock()
	pairs := slices.SortedFunc(maps.Keys(r.seen), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.host, b.host))
	})
	fmt.Fprintln(t, "upstream\thost\tcalls\tresponses with a statement")
	for _, p := range pairs {
		c := r.seen[p]
		stated := 0
		for _, list := range c.stated {
			stated += len(list)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", p.upstream, p.host, len(c.arrivals), stated)
	}
	for _, outcome := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Fprintf(t, "calls\t%s\t%d\n", outcome, r.outcomes[outcome])
	}
	r.writeUsages(t)
	r.mu.Unlock()
	for _, breach := range r.Breaches() {
		fmt.Fprintf(t, "violation\t%s\n", breach)
	}
	for _, v := range r.Violations() {
		fmt.Fprintf(t, "not followed\t%s\t%d\t%+v\n", cmp.Or(v.Host, "all hosts"), v.Calls, v.Statement)
		if v.Window > 0 {
			r.writeWindow(t, &v)
		}
	}
	return t.Flush()
}

// writeWindow prints when each process sent calls in the window of a violation, and when it was first told the limit.
func (r *Report) writeWindow(w io.Writer, v *Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	statement := slices.Index(r.statements, v.Statement)
	for p, c := range r.seen {
		if p.upstream != v.Statement.Upstream {
			continue
		}
		told := "not told"
		if list := c.stated[statement]; len(list) > 0 {
			told = fmt.Sprint("told at ", slices.Min(list))
		}
		for _, at := range c.arrivals {
			if at >= v.Window && at < v.Window+limitWindow {
				fmt.Fprintf(w, "in the window\t%s\t%v\t%s\n", p.host, at, told)
			}
		}
	}
}
