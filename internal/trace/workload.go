package trace

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/envdoc"
)

type (
	// Workload describes an environment and the calls to generate for it. Fields that end in S are in seconds.
	Workload struct {
		Seed          uint64             `yaml:"seed"`
		DurationS     float64            `yaml:"duration_s"`
		ReportLagMS   float64            `yaml:"report_lag_ms"`
		AdapterLoadMS float64            `yaml:"adapter_load_ms"`
		LoadMBPerS    float64            `yaml:"load_mb_per_s"`
		WeightStore   envdoc.WeightStore `yaml:"weight_store"`
		Engine        EngineCost         `yaml:"engine"`
		Classes       []envdoc.Class     `yaml:"classes"`
		Callers       int                `yaml:"callers"`
		Pools         []PoolWorkload     `yaml:"pools"`
		Peak          Peak               `yaml:"crest"`
		Bursts        Bursts             `yaml:"swings"`
		Events        []EngineFault      `yaml:"events"`
		// SteadyFactor scales the call rate under steady load, which has no peak, bursts or engine faults.
		SteadyFactor float64 `yaml:"steady_factor"`
	}

	// EngineCost is the cost model of the simulated engines, which run in iterations: the time of an iteration, and the
	// sizes of a prefill chunk and of the prefix cache in tokens.
	EngineCost struct {
		BaseMS            float64 `yaml:"base_ms"`
		PerSeqMS          float64 `yaml:"per_seq_ms"`
		PerPromptTokenMS  float64 `yaml:"per_prompt_token_ms"`
		ChunkTokens       int     `yaml:"chunk_tokens"`
		PrefixCacheTokens int     `yaml:"prefix_cache_tokens"`
	}

	// PoolWorkload describes one pool, its engines, models and adapters, and its calls. ModelMB and AdapterMB are
	// ranges of sizes whose upper bound is excluded; Zipf is the exponent of the popularity of models.
	PoolWorkload struct {
		Name               string     `yaml:"name"`
		Engines            int        `yaml:"engines"`
		Accelerators       int        `yaml:"accelerators"`
		FailureDomains     int        `yaml:"failure_domains"`
		MaxSeqs            int        `yaml:"max_seqs"`
		UsableMB           int        `yaml:"usable_mb"`
		Models             int        `yaml:"models"`
		ModelMB            [2]int     `yaml:"model_mb"`
		Adapters           int        `yaml:"adapters"`
		AdapterMB          [2]int     `yaml:"adapter_mb"`
		AdapterShare       float64    `yaml:"adapter_share"`
		CallsPerS          float64    `yaml:"calls_per_s"`
		Zipf               float64    `yaml:"zipf"`
		Mix                []MixEntry `yaml:"mix"`
		NotRepeatableShare float64    `yaml:"not_repeatable"`
	}

	// MixEntry is one kind of call and its share of the calls of a pool. Prompt and Output are the medians of
	// log-normal sizes in tokens; the spreads are the standard deviations of their logarithms. PrefixShare is the
	// fraction of the prompt that is a shared prefix.
	MixEntry struct {
		Class        string  `yaml:"class"`
		Share        float64 `yaml:"share"`
		Long         bool    `yaml:"long"`
		Prompt       float64 `yaml:"prompt"`
		PromptSpread float64 `yaml:"prompt_spread"`
		Output       float64 `yaml:"output"`
		OutputSpread float64 `yaml:"output_spread"`
		PrefixShare  float64 `yaml:"prefix_share"`
		DeadlineMS   int     `yaml:"deadline_ms"`
	}

	// Peak multiplies the rate of interactive calls by Factor between two times, with a linear ramp at both ends.
	Peak struct {
		FromS  float64 `yaml:"from_s"`
		ToS    float64 `yaml:"to_s"`
		RampS  float64 `yaml:"ramp_s"`
		Factor float64 `yaml:"factor"`
	}

	// Bursts sets the frequency, size and average duration of random bursts of calls for single models. Each burst
	// takes RampS to rise and to fall.
	Bursts struct {
		PerMinute float64 `yaml:"per_minute"`
		Factor    float64 `yaml:"factor"`
		DurationS float64 `yaml:"for_s"`
		RampS     float64 `yaml:"ramp_s"`
	}

	// EngineFault slows down an engine by Factor for DurationS; a Factor of 0 makes the engine fail and recover.
	EngineFault struct {
		Pool      string  `yaml:"pool"`
		Engine    int     `yaml:"engine"`
		AtS       float64 `yaml:"at_s"`
		DurationS float64 `yaml:"for_s"`
		Factor    float64 `yaml:"factor"`
	}
)

// Load reads a workload from a YAML file; it returns an error for unknown keys.
func Load(file string) (*Workload, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read workload")
	}
	var w Workload
	dec := yaml.NewDecoder(bytes.NewReader(body))
	dec.KnownFields(true)
	if err := dec.Decode(&w); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return &w, nil
}

// Doc returns the document of the environment.
func (w *Workload) Doc() *envdoc.Doc {
	rnd := rand.New(rand.NewPCG(w.Seed, 1))
	d := strict.Default[envdoc.Doc]()
	d.Environment, d.WeightStore, d.Classes = "replay", w.WeightStore, w.Classes
	for i := range w.Callers {
		c := strict.Default[envdoc.Caller]()
		c.Name = fmt.Sprintf("caller%02d", i)
		d.Callers = append(d.Callers, c)
	}
	for _, p := range w.Pools {
		w.addPool(&d, p, rnd)
	}
	return &d
}

func (w *Workload) addPool(d *envdoc.Doc, p PoolWorkload, rnd *rand.Rand) {
	pool := strict.Default[envdoc.Pool]()
	pool.Name = p.Name
	for i := range p.Engines {
		e := strict.Default[envdoc.Engine]()
		e.Name, e.FailureDomain = fmt.Sprintf("%s-%02d", p.Name, i), fmt.Sprintf("fd%d", i%max(p.FailureDomains, 1))
		e.Accelerators, e.MemoryMB, e.MaxSeqs, e.ChecksFencing = p.Accelerators, p.UsableMB, p.MaxSeqs, true
		pool.Engines = append(pool.Engines, e)
	}
	d.Pools = append(d.Pools, pool)
	class := p.Mix[0].Class
	for i := range p.Models {
		m := strict.Default[envdoc.Model]()
		m.Name, m.Version, m.Pool, m.Class = modelName(p, i), "1", p.Name, class
		m.MemoryMB = randomInRange(rnd, p.ModelMB)
		d.Models = append(d.Models, m)
	}
	for i := range p.Adapters {
		a := strict.Default[envdoc.Adapter]()
		a.Name, a.Version, a.Model, a.Class = adapterName(p, i), "1", modelName(p, i%p.Models), class
		a.MemoryMB = randomInRange(rnd, p.AdapterMB)
		d.Adapters = append(d.Adapters, a)
	}
}

// Steady returns a copy of the workload without peak, bursts and engine faults, with all call rates scaled by
// SteadyFactor.
func (w *Workload) Steady() *Workload {
	steady := *w
	steady.Peak, steady.Bursts, steady.Events = Peak{}, Bursts{}, nil
	steady.Pools = append([]PoolWorkload(nil), w.Pools...)
	for i := range steady.Pools {
		steady.Pools[i].CallsPerS *= w.SteadyFactor
	}
	return &steady
}

// randomInRange returns a random number from r[0] to r[1]-1, or r[0] if the range is empty.
func randomInRange(rnd *rand.Rand, r [2]int) int { return r[0] + rnd.IntN(max(r[1]-r[0], 1)) }

func modelName(p PoolWorkload, i int) string { return fmt.Sprintf("%s-m%02d", p.Name, i) }

func adapterName(p PoolWorkload, i int) string { return fmt.Sprintf("%s-a%03d", p.Name, i) }
