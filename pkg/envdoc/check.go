package envdoc

import (
	"fmt"
	"math"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/find"
)

const (
	maxPoolEngines = 24      // one host dispatches for a whole pool, so larger pools must be split
	maxMemoryMB    = 1 << 30 // keeps sums of memory over a document far from integer overflow
)

type (
	// Checks a decoded document and adds its findings to list.
	checker struct {
		*strict.Decoded
		doc            *Doc
		list           *find.List
		failureDomains map[string]bool // of all engines and upstreams
		classes        firstUses
		pools          firstUses
		models         firstUses
	}

	// Maps a name, URL or key to the path of the field that uses it first.
	firstUses map[string]string
)

func (c *checker) check() {
	d := c.doc
	c.CheckName("environment", d.Environment)
	c.failureDomains = d.failureDomains()
	c.classes, c.pools, c.models = firstUses{}, firstUses{}, firstUses{}
	c.checkMin("once.retention_s", d.Once.RetentionS, 1)
	c.checkClasses()
	c.checkCallers()
	c.checkPools()
	c.checkServices()
	c.checkModels()
	c.checkAdapters()
	if len(d.Models) > 0 {
		c.checkWeightStore()
	}
	if len(c.list.Findings) == 0 {
		c.checkPlacement()
	}
}

func (c *checker) checkWeightStore() {
	w := c.doc.WeightStore
	// The negated comparison rejects NaN as well.
	if !(w.LoadsPerS > 0) || math.IsInf(w.LoadsPerS, 1) {
		c.AddFinding("weight_store.loads_per_s", "must be greater than 0")
	}
	c.checkMin("weight_store.at_once", w.AtOnce, 1)
	c.checkMin("weight_store.adapters_in_transit", w.AdaptersInTransit, 1)
}

func (c *checker) checkClasses() {
	for i, class := range c.doc.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.checkUniqueName(c.classes, path+".name", class.Name)
		c.checkMin(path+".priority", class.Priority, 0)
		c.checkMin(path+".first_token_ms", class.FirstTokenMS, 0)
		c.checkMin(path+".per_token_ms", class.PerTokenMS, 0)
		c.checkMin(path+".total_ms", class.TotalMS, 0)
		c.checkMin(path+".expected_tokens", class.ExpectedTokens, 0)
		if class.FirstTokenMS == 0 && class.TotalMS == 0 {
			c.AddFinding(path, "class %q has no target: set first_token_ms or total_ms", class.Name)
		}
	}
}

func (c *checker) checkCallers() {
	callers, keys := firstUses{}, firstUses{}
	for i, caller := range c.doc.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.checkUniqueName(callers, path+".name", caller.Name)
		c.checkMin(path+".share", caller.Share, 1)
		c.checkKeyDigest(keys, path+".key_sha256", caller.KeySHA256)
		if caller.FailureDomain != "" && !c.failureDomains[caller.FailureDomain] {
			c.AddFinding(path+".failure_domain", "no engine or upstream is in failure domain %q", caller.FailureDomain)
		}
	}
}

func (c *checker) checkPools() {
	engines, urls := firstUses{}, firstUses{}
	for i, p := range c.doc.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.checkUniqueName(c.pools, path+".name", p.Name)
		c.checkMin(path+".order_horizon_s", p.OrderHorizonS, 1)
		if len(p.Engines) == 0 {
			c.AddFinding(path+".engines", "pool %q has no engines", p.Name)
		}
		if len(p.Engines) > maxPoolEngines {
			c.AddFinding(path+".engines", "pool %q has %d engines; split pools above %d",
				p.Name, len(p.Engines), maxPoolEngines)
		}
		for j, e := range p.Engines {
			c.checkEngine(fmt.Sprintf("%s.engines[%d]", path, j), e, engines, urls)
		}
	}
}

func (c *checker) checkEngine(path string, e Engine, engines, urls firstUses) {
	c.checkUniqueName(engines, path+".name", e.Name)
	c.CheckURL(path+".url", e.URL)
	// Two entries for one engine would count its memory twice.
	c.checkUnique(urls, path+".url", e.URL)
	c.CheckName(path+".failure_domain", e.FailureDomain)
	c.checkMemory(path+".memory_mb", e.MemoryMB)
	c.checkMin(path+".accelerators", e.Accelerators, 1)
	c.checkMin(path+".max_seqs", e.MaxSeqs, 1)
	c.checkMin(path+".kv_reserve_mb", e.KVReserveMB, 0)
	if e.KVReserveMB > 0 && e.KVReserveMB >= e.MemoryMB {
		c.AddFinding(path+".kv_reserve_mb", "leaves nothing of memory_mb %d", e.MemoryMB)
	}
}

func (c *checker) checkServices() {
	services, urls := firstUses{}, firstUses{}
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkUniqueName(services, path+".name", s.Name)
		c.checkReference(c.classes, path+".class", "class", s.Class)
		c.checkMin(path+".timeout_ms", s.TimeoutMS, 1)
		if s.RequireKey && !s.NotRepeatable {
			c.AddFinding(path+".require_key", "applies only to a service that is not_repeatable")
		}
		if len(s.Upstreams) == 0 {
			c.AddFinding(path+".upstreams", "service %q has no upstreams", s.Name)
		}
		upstreams := firstUses{}
		for j, u := range s.Upstreams {
			c.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", path, j), u, upstreams, urls)
		}
	}
}

// Checks an upstream, which may be listed by several services, but under one name with the same URL in all of them.
// urls maps the names of the upstreams seen so far to their URLs.
func (c *checker) checkUpstream(path string, u Upstream, upstreams, urls firstUses) {
	c.checkUniqueName(upstreams, path+".name", u.Name)
	c.CheckURL(path+".url", u.URL)
	c.CheckName(path+".failure_domain", u.FailureDomain)
	if other, ok := urls[u.Name]; ok && other != u.URL {
		c.AddFinding(path+".url", "upstream %q has another url in another service: %s", u.Name, other)
	}
	urls[u.Name] = u.URL
	if _, ok := c.doc.findEngine(u.Name); ok {
		c.AddFinding(path+".name", "%q is the name of an engine", u.Name)
	}
}

func (c *checker) checkModels() {
	for i, m := range c.doc.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkUniqueName(c.models, path+".name", m.Name)
		c.CheckName(path+".version", m.Version)
		c.checkReference(c.pools, path+".pool", "pool", m.Pool)
		c.checkReference(c.classes, path+".class", "class", m.Class)
		c.checkMemory(path+".memory_mb", m.MemoryMB)
		c.checkMin(path+".min_copies", m.MinCopies, 1)
	}
}

// Checks the adapters. Their names must differ from those of models, because callers name either in the same field.
func (c *checker) checkAdapters() {
	all := firstUses{}
	for name, path := range c.models {
		all[name] = path
	}
	for i, a := range c.doc.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		c.checkUniqueName(all, path+".name", a.Name)
		c.CheckName(path+".version", a.Version)
		c.checkReference(c.models, path+".model", "model", a.Model)
		if a.Class != "" {
			c.checkReference(c.classes, path+".class", "class", a.Class)
		}
		c.checkMemory(path+".memory_mb", a.MemoryMB)
		c.checkMin(path+".min_copies", a.MinCopies, 1)
	}
}

func (c *checker) checkMin(path string, v, minimum int) {
	c.CheckMin(path, int64(v), int64(minimum))
}

// Checks a memory size in MB.
func (c *checker) checkMemory(path string, mb int) {
	c.checkMin(path, mb, 1)
	if mb > maxMemoryMB {
		c.AddFinding(path, "must be at most %d, is %d", maxMemoryMB, mb)
	}
}

// Checks that v is a valid name and not used before.
func (c *checker) checkUniqueName(uses firstUses, path, v string) {
	c.CheckName(path, v)
	c.checkUnique(uses, path, v)
}

// Records the first use of v, and adds a finding for each further one; an empty v is ignored.
func (c *checker) checkUnique(uses firstUses, path, v string) {
	if v == "" {
		return
	}
	if other, ok := uses[v]; ok {
		c.AddFinding(path, "%q is already used at line %d (%s)", v, c.Line(other), other)
		return
	}
	uses[v] = path
}

// Checks that v is given and names an existing object of the given kind.
func (c *checker) checkReference(uses firstUses, path, kind, v string) {
	if v == "" {
		c.AddFinding(path, "is required")
	} else if _, ok := uses[v]; !ok {
		c.AddFinding(path, "%s %q does not exist", kind, v)
	}
}

// Checks that v is a digest of a key and that no other caller has the same key.
func (c *checker) checkKeyDigest(uses firstUses, path, v string) {
	if !c.CheckDigest(path, v) {
		return
	}
	if other, ok := uses[v]; ok {
		c.AddFinding(path, "is the same key as at line %d (%s)", c.Line(other), other)
	}
	uses[v] = path
}

func (d *Doc) failureDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, p := range d.Pools {
		for _, e := range p.Engines {
			domains[e.FailureDomain] = true
		}
	}
	for _, s := range d.Services {
		for _, u := range s.Upstreams {
			domains[u.FailureDomain] = true
		}
	}
	return domains
}

func (d *Doc) findEngine(name string) (Engine, bool) {
	for _, p := range d.Pools {
		for _, e := range p.Engines {
			if e.Name == name {
				return e, true
			}
		}
	}
	return Engine{}, false
}
