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

// parallelRuns limits the number of replays that run concurrently.
const parallelRuns = 4

type (
	// Metrics maps the names of an evaluation's metrics to their values.
	Metrics map[string]float64

	// Row is one row of the table of runs.
	Row struct {
		Name    string
		Result  *Result
		Summary Summary
	}

	// Summary holds the aggregated metrics of one run. Times are in milliseconds; an attainment is the share of calls
	// that met the targets of their class; Refused counts calls without a complete response.
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

	// Report is the evaluation of a trace: all runs, the upper bound and the metrics derived from them.
	Report struct {
		Rows    []Row
		Oracle  Summary
		Metrics Metrics
		// FloodAttainment is the share of the other callers' short calls that meet their targets while one caller
		// floods the pool with calls.
		FloodAttainment float64
	}

	// Bound is an acceptance bound on one metric; a nil limit does not apply.
	Bound struct {
		Metric  string   `yaml:"measure"`
		AtLeast *float64 `yaml:"at_least"`
		AtMost  *float64 `yaml:"at_most"`
	}

	// Bounds holds the acceptance bounds of a trace, read from its outcomes file.
	Bounds struct {
		Outcomes []Bound `yaml:"outcomes"`
	}

	scenario struct {
		name     string
		workload *trace.Workload
		run      *Run
	}
)

// The flooding caller sends floodFactor calls for each short call of the others, from floodFrom to floodTo as shares of
// the trace's duration.
const (
	floodCaller = "flood"
	floodFactor = 6
	floodFrom   = 0.4
	floodTo     = 0.6
)

// IsShort reports whether a call is short and interactive: not marked as long and not of a deferrable class.
func IsShort(workload *trace.Workload, c trace.Call) bool {
	return !c.Long && !classOf(workload.Classes, c.Class).Deferrable
}

// NewPlanner returns the planner of the policy; it ignores its arguments.
func (p Policy) NewPlanner(*envdoc.Doc, string) Planner {
	planner := plan.Planner{CoolDown: warm.CoolDown}
	if p.NoPrefetch {
		return &planner
	}
	return &warm.Planner{Base: planner}
}

// Evaluate replays the calls under the policy and every baseline; nil calls are generated from the workload. The runs
// named steady have a constant rate without events, and those named slow have only the events that slow an engine.
func Evaluate(workload *trace.Workload, calls []trace.Call, policy Policy) *Report {
	tune := policy.Tunables
	if calls == nil {
		calls = workload.Generate()
	}
	steady := workload.Steady()
	slowed := workload.Steady()
	for _, ev := range workload.Events {
		if ev.Factor > 0 {
			slowed.Events = append(slowed.Events, ev)
		}
	}
	steadyCalls := steady.Generate()
	var shortCalls []trace.Call
	for _, c := range steadyCalls {
		if !c.Long {
			shortCalls = append(shortCalls, c)
		}
	}
	flooded := addFlood(steady, steadyCalls)
	list := []scenario{
		{"policy", workload, &Run{Calls: calls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"round robin", workload, &Run{Calls: calls, Router: RoundRobin, Placement: Planned}},
		{"least loaded", workload, &Run{Calls: calls, Router: LeastLoaded, Placement: Planned}},
		{"static placement", workload, &Run{Calls: calls, Router: Dispatch, Placement: Static, Tune: tune}},
		{"reactive LRU", workload, &Run{Calls: calls, Router: Dispatch, Placement: ReactiveLRU, Tune: tune}},
		{"steady: policy", steady, &Run{Calls: steadyCalls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{
			"steady: policy without long", steady,
			&Run{Calls: shortCalls, Router: Dispatch, Placement: Planned, Tune: tune},
		},
		{"steady: least loaded", steady, &Run{Calls: steadyCalls, Router: LeastLoaded, Placement: Planned}},
		{"slow: policy", slowed, &Run{Calls: steadyCalls, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"flood: policy", steady, &Run{Calls: flooded, Router: Dispatch, Placement: Planned, Tune: tune}},
		{"slow: least loaded", slowed, &Run{Calls: steadyCalls, Router: LeastLoaded, Placement: Planned}},
	}
	r := &Report{Rows: runAll(list, policy)}
	r.Oracle = oracleSummary(workload, calls)
	for _, v := range r.Rows {
		if v.Name == "flood: policy" {
			r.FloodAttainment = floodAttainment(steady, v.Result)
		}
	}
	r.computeMetrics()
	return r
}

// addFlood returns the calls with those of one more caller, which repeats each short call within the flood interval
// floodFactor times, one millisecond apart.
func addFlood(workload *trace.Workload, calls []trace.Call) []trace.Call {
	from, to := floodFrom*workload.DurationS*1000, floodTo*workload.DurationS*1000
	var out []trace.Call
	for _, c := range calls {
		out = append(out, c)
		if c.AtMS < from || c.AtMS >= to || !IsShort(workload, c) {
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

// floodAttainment returns the share of the other callers' short calls during the flood that met their targets.
func floodAttainment(workload *trace.Workload, res *Result) float64 {
	n, ok := 0, 0
	for _, o := range res.Outcomes {
		at := o.Call.AtMS / 1000 / workload.DurationS
		if o.Call.Caller == floodCaller || at < floodFrom || at >= floodTo || !IsShort(workload, *o.Call) {
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
			v.run.Workload, v.run.NewPlanner = v.workload, policy.NewPlanner
			res := v.run.Do()
			rows[i] = Row{Name: v.name, Result: res, Summary: Summarise(v.workload, res)}
		})
	}
	wg.Wait()
	return rows
}

func inPeak(workload *trace.Workload, c trace.Call) bool {
	return c.AtMS >= workload.Peak.FromS*1000 && c.AtMS < workload.Peak.ToS*1000
}

func accelerators(workload *trace.Workload) float64 {
	n := 0
	for _, p := range workload.Pools {
		n += p.Engines * max(p.Accelerators, 1)
	}
	return float64(n)
}

// oracleSummary returns the upper bounds on the attainment and the goodput; its other fields are zero.
func oracleSummary(workload *trace.Workload, calls []trace.Call) Summary {
	peak := func(c trace.Call) bool { return IsShort(workload, c) && inPeak(workload, c) }
	n := 0
	for _, c := range calls {
		if peak(c) {
			n++
		}
	}
	all := Oracle(workload, calls, func(trace.Call) bool { return true })
	return Summary{
		PeakAttainment:        Oracle(workload, calls, peak) / float64(max(n, 1)),
		Attainment:            all / float64(max(len(calls), 1)),
		GoodputPerAccelerator: all / workload.DurationS / accelerators(workload),
	}
}

// Summarise returns the aggregated metrics of a run.
func Summarise(workload *trace.Workload, res *Result) Summary {
	var ttfts, totals []float64
	var peak, peakOK, ok int
	s := Summary{ModelLoads: res.ModelLoads, Hedges: res.Hedges, Moved: res.Moved}
	for _, o := range res.Outcomes {
		if o.Attained {
			ok++
		}
		if o.Code != "" {
			s.Refused++
		}
		// A non-idempotent call whose engine failed must not be executed again, so no policy can save it.
		unavoidable := o.Code == codeFailed && o.Call.NotRepeatable
		if classOf(workload.Classes, o.Call.Class).Deferrable && o.Code != "" && !unavoidable {
			s.DeferrableLost++
		}
		if !IsShort(workload, *o.Call) {
			continue
		}
		// A call without a response counts with its deadline, so that rejecting calls does not improve the quantiles.
		ttfts = append(ttfts, timeOrDeadline(o.FirstTokenMS, o))
		totals = append(totals, timeOrDeadline(o.TotalMS, o))
		if inPeak(workload, *o.Call) {
			peak++
			if o.Attained {
				peakOK++
			}
		}
	}
	s.PeakAttainment = float64(peakOK) / float64(max(peak, 1))
	s.ShortTTFTP50, s.ShortTTFTP99 = quantile(ttfts, 0.5), quantile(ttfts, 0.99)
	s.ShortTotalP99 = quantile(totals, 0.99)
	s.Attainment = float64(ok) / float64(max(len(res.Outcomes), 1))
	s.GoodputPerAccelerator = float64(ok) / workload.DurationS / accelerators(workload)
	return s
}

func timeOrDeadline(ms float64, o Outcome) float64 {
	if ms < 0 {
		return float64(o.Call.DeadlineMS)
	}
	return ms
}

// quantile sorts the list and returns its q-quantile, or 0 for an empty list.
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

// computeMetrics computes the metrics that the acceptance bounds refer to. Those with vs or ratio in their names are
// quotients of the policy's result and that of the oracle, a baseline or another run; crest is the load peak.
func (r *Report) computeMetrics() {
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

// LoadBounds reads the acceptance bounds from an outcomes file; unknown fields are errors.
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

// Check returns a markdown table that compares the metrics with the bounds, and the number of bounds that were missed.
// A bound on an unknown metric counts as missed.
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

// WriteTable writes the upper bound and the runs as a markdown table.
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
