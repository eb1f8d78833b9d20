package replay

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"sync"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/internal/warm"
	"github.com/figreel/figreel/pkg/envdoc"
)

// parallelRuns bounds how many replays run at once.
const parallelRuns = 4

type (
	// Metrics are named figures of one deployment.
	Metrics map[string]float64

	// Row is one line of the table of runs.
	Row struct {
		Name    string
		Result  *Result
		Summary Summary
	}

	// Summary holds the figures of one run; times are in milliseconds.
	Summary struct {
		PeakAttainment        float64
		ShortTTFTP50          float64
		ShortTTFTP99          float64
		ShortTotalP99         float64
		Attainment            float64
		GoodputPerAccelerator float64
		DeferrableLost        int
		Refused               int
		ModelLoads            int
		Hedges                int
		Moved                 int
	}

	// Report is a whole evaluation of a trace.
	Report struct {
		Rows    []Row
		Oracle  Summary
		Metrics Metrics
		// FloodAttainment is the attained share of short calls of all other callers while one caller floods the pool.
		FloodAttainment float64
	}

	// Bound limits one measure; a nil limit does not apply.
	Bound struct {
		Metric  string   `yaml:"measure"`
		AtLeast *float64 `yaml:"at_least"`
		AtMost  *float64 `yaml:"at_most"`
	}

	// Bounds is the outcomes file of a trace.
	Bounds struct {
		Outcomes []Bound `yaml:"outcomes"`
	}

	scenario struct {
		name string
		set  *trace.Workload
		run  *Run
	}
)

const (
	floodCaller = "flood"
	floodFactor = 6
	floodFrom   = 0.4
	floodTo     = 0.6
)

// IsShort tells whether a call is a short interactive one.
func IsShort(set *trace.Workload, c trace.Call) bool {
	return !c.Long && !classOf(set.Classes, c.Class).Deferrable
}

// NewPlanner returns the planner that the policy uses.
func (p Policy) NewPlanner(*envdoc.Doc, string) Planner {
	base := plan.Planner{CoolDown: warm.CoolDown}
	if p.NoPrefetch {
		return &base
	}
	return &warm.Planner{Base: base}
}

// Evaluate replays the calls, generated where nil, under the policy and every baseline.
func Evaluate(set *trace.Workload, calls []trace.Call, policy Policy) *Report {
	tune := policy.Tunables
	if calls == nil {
		calls = set.Generate()
	}
	steady := set.Steady()
	slow := set.Steady()
	for _, ev := range set.Events {
		if ev.Factor > 0 {
			slow.Events = append(slow.Events, ev)
		}
	}
	steadyCalls := steady.Generate()
	var short []trace.Call
	for _, c := range steadyCalls {
		if !c.Long {
			short = append(short, c)
		}
	}
	flooded := flood(steady, steadyCalls)
	list := []scenario{
		{"policy", set, &Run{Calls: calls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"round robin", set, &Run{Calls: calls, Router: RoundRobin, Placement: Planned}},
		{"least loaded", set, &Run{Calls: calls, Router: LeastLoaded, Placement: Planned}},
		{"static placement", set, &Run{Calls: calls, Router: Dispatch, Placement: Static, Tune: tune}},
		{"reactive LRU", set, &Run{Calls: calls, Router: Dispatch, Placement: ReactiveLRU, Tune: tune}},
		{"steady: policy", steady, &Run{Calls: steadyCalls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"steady: policy without long", steady, &Run{Calls: short, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"steady: least loaded", steady, &Run{Calls: steadyCalls, Router: LeastLoaded, Placement: Planned}},
		{"slow: policy", slow, &Run{Calls: steadyCalls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"flood: policy", steady, &Run{Calls: flooded, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"slow: least loaded", slow, &Run{Calls: steadyCalls, Router: LeastLoaded, Placement: Planned}},
	}
	r := &Report{Rows: runAll(list, policy)}
	r.Oracle = oracle(set, calls)
	for _, v := range r.Rows {
		if v.Name == "flood: policy" {
			r.FloodAttainment = floodService(steady, v.Result)
		}
	}
	r.measure()
	return r
}

// flood adds one caller that sends as many short calls as all others do in ten times as long.
func flood(set *trace.Workload, calls []trace.Call) []trace.Call {
	from, to := floodFrom*set.DurationS*1000, floodTo*set.DurationS*1000
	var out []trace.Call
	for _, c := range calls {
		out = append(out, c)
		if c.AtMS < from || c.AtMS >= to || !IsShort(set, c) {
			continue
		}
		for i := range floodFactor {
			extra := c
			extra.Caller, extra.AtMS = floodCaller, c.AtMS+float64(i+1)
			out = append(out, extra)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMS < out[j].AtMS })
	return out
}

// floodService returns the attained share of the other callers' short calls during the flood.
func floodService(set *trace.Workload, res *Result) float64 {
	n, ok := 0, 0
	for _, o := range res.Outcomes {
		at := o.Call.AtMS / 1000 / set.DurationS
		if o.Call.Caller == floodCaller || at < floodFrom || at >= floodTo || !IsShort(set, *o.Call) {
			continue
		}
		n++
		if o.Attained {
			ok++
		}
	}
	return float64(ok) / float64(max(n, 1))
}

func runAll(list []scenario, policy Policy) []Row {
	rows := make([]Row, len(list))
	slots := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i, v := range list {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v.run.Workload, v.run.NewPlanner = v.set, policy.NewPlanner
			res := v.run.Do()
			rows[i] = Row{Name: v.name, Result: res, Summary: Summarise(v.set, res)}
		})
	}
	wg.Wait()
	return rows
}

func inCrest(set *trace.Workload, c trace.Call) bool {
	return c.AtMS >= set.Peak.FromS*1000 && c.AtMS < set.Peak.ToS*1000
}

func accelerators(set *trace.Workload) float64 {
	n := 0
	for _, p := range set.Pools {
		n += p.Engines * max(p.Accelerators, 1)
	}
	return float64(n)
}

func oracle(set *trace.Workload, calls []trace.Call) Summary {
	crest := func(c trace.Call) bool { return IsShort(set, c) && inCrest(set, c) }
	n := 0
	for _, c := range calls {
		if crest(c) {
			n++
		}
	}
	all := Oracle(set, calls, func(trace.Call) bool { return true })
	return Summary{
		PeakAttainment: Oracle(set, calls, crest) / float64(max(n, 1)), Attainment: all / float64(max(len(calls), 1)),
		GoodputPerAccelerator: all / set.DurationS / accelerators(set),
	}
}

// Summarise computes the figures of a run.
func Summarise(set *trace.Workload, res *Result) Summary {
	var first, total []float64
	var crest, crestOK, ok int
	s := Summary{ModelLoads: res.ModelLoads, Hedges: res.Hedges, Moved: res.Moved}
	for _, o := range res.Outcomes {
		if o.Attained {
			ok++
		}
		if o.Code != "" {
			s.Refused++
		}
		// A call that is not repeatable and whose engine was lost must not run again, so no policy can keep it.
		unavoidable := o.Code == codeBroken && o.Call.NotRepeatable
		if classOf(set.Classes, o.Call.Class).Deferrable && o.Code != "" && !unavoidable {
			s.DeferrableLost++
		}
		if !IsShort(set, *o.Call) {
			continue
		}
		// A call without an answer counts with its deadline.
		first = append(first, answered(o.FirstTokenMS, o))
		total = append(total, answered(o.TotalMS, o))
		if inCrest(set, *o.Call) {
			crest++
			if o.Attained {
				crestOK++
			}
		}
	}
	s.PeakAttainment = float64(crestOK) / float64(max(crest, 1))
	s.ShortTTFTP50, s.ShortTTFTP99 = quantile(first, 0.5), quantile(first, 0.99)
	s.ShortTotalP99 = quantile(total, 0.99)
	s.Attainment = float64(ok) / float64(max(len(res.Outcomes), 1))
	s.GoodputPerAccelerator = float64(ok) / set.DurationS / accelerators(set)
	return s
}

func answered(ms float64, o Outcome) float64 {
	if ms < 0 {
		return float64(o.Call.DeadlineMS)
	}
	return ms
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	return list[min(int(math.Ceil(q*float64(len(list))))-1, len(list)-1)]
}

func (r *Report) row(name string) Summary {
	for _, v := range r.Rows {
		if v.Name == name {
			return v.Summary
		}
	}
	return Summary{}
}

func (r *Report) measure() {
	policy, steady, slow := r.row("policy"), r.row("steady: policy"), r.row("slow: policy")
	lru := r.row("reactive LRU")
	r.Metrics = Metrics{
		"crest_service_vs_oracle":    policy.PeakAttainment / max(r.Oracle.PeakAttainment, 1e-9),
		"deferrable_lost":            float64(policy.DeferrableLost),
		"short_p99_vs_no_long":       steady.ShortTTFTP99 / r.row("steady: policy without long").ShortTTFTP99,
		"short_p99_vs_least_loaded":  steady.ShortTTFTP99 / r.row("steady: least loaded").ShortTTFTP99,
		"straggler_first_p99_ratio":  slow.ShortTTFTP99 / steady.ShortTTFTP99,
		"straggler_total_p99_ratio":  slow.ShortTotalP99 / steady.ShortTotalP99,
		"attained_per_accel_vs_best": policy.GoodputPerAccelerator / max(r.Oracle.GoodputPerAccelerator, 1e-9),
		"short_first_p99_ms":         steady.ShortTTFTP99,
		"short_total_p99_ms":         steady.ShortTotalP99,
		"others_service_in_flood":    r.FloodAttainment,
		"model_moves_vs_lru":         float64(policy.ModelLoads) / float64(max(lru.ModelLoads, 1)),
	}
}

// LoadBounds reads an outcomes file.
func LoadBounds(file string) (*Bounds, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read outcomes")
	}
	var b Bounds
	dec := yaml.NewDecoder(bytes.NewReader(body))
	dec.KnownFields(true)
	if err := dec.Decode(&b); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return &b, nil
}

// Check returns a table of the bounds beside the figures, and how many were missed.
func (b *Bounds) Check(m Metrics) (string, int) {
	var out bytes.Buffer
	missed := 0
	out.WriteString("| measure | bound | figure | met |\n|---|---|---|---|\n")
	for _, o := range b.Outcomes {
		v, known := m[o.Metric]
		text, ok := "", known
		if o.AtLeast != nil {
			text, ok = fmt.Sprintf(">= %g", *o.AtLeast), ok && v >= *o.AtLeast
		}
		if o.AtMost != nil {
			text, ok = fmt.Sprintf("<= %g", *o.AtMost), ok && v <= *o.AtMost
		}
		if !ok {
			missed++
		}
		fmt.Fprintf(&out, "| %s | %s | %.3f | %t |\n", o.Metric, text, v, ok)
	}
	return out.String(), missed
}

// WriteTable writes the runs as a markdown table.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintln(w, "| run | crest service | short first p50/p99 ms | short total p99 ms |"+
		" attained | attained/s/accel |"+
		" deferrable lost | not answered | model loads | hedges | moved |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	fmt.Fprintf(w, "| oracle (upper bound) | %.4f | | | %.4f | %.4f | | | | | |\n",
		r.Oracle.PeakAttainment, r.Oracle.Attainment, r.Oracle.GoodputPerAccelerator)
	for _, v := range r.Rows {
		f := v.Summary
		fmt.Fprintf(w, "| %s | %.4f | %.0f / %.0f | %.0f | %.4f | %.4f | %d | %d | %d | %d | %d |\n", v.Name,
			f.PeakAttainment, f.ShortTTFTP50, f.ShortTTFTP99, f.ShortTotalP99, f.Attainment, f.GoodputPerAccelerator,
			f.DeferrableLost, f.Refused, f.ModelLoads, f.Hedges, f.Moved)
	}
}
