package envdoc

import (
	"fmt"
	"math"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/find"
)

const (
	maxPoolEngines = 24      // one host dispatches for a whole pool
	maxMemoryMB    = 1 << 30 // keeps sums over a document far from overflow
)

type (
	// Checks a decoded document; each name set holds the path of the first use.
	checker struct {
		*strict.Decoded
		doc     *Doc
		list    *find.List
		domains map[string]bool
		classes names
		pools   names
		models  names
	}

	names map[string]string
)

func (c *checker) check() {
	d := c.doc
	c.CheckName("environment", d.Environment)
	c.domains = d.domains()
	c.classes, c.pools, c.models = names{}, names{}, names{}
	c.atLeast("once.retention_s", d.Once.RetentionS, 1)
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
	if !(w.LoadsPerS > 0) || math.IsInf(w.LoadsPerS, 1) {
		c.AddFinding("weight_store.loads_per_s", "must be greater than 0")
	}
	c.atLeast("weight_store.at_once", w.AtOnce, 1)
	c.atLeast("weight_store.adapters_in_transit", w.AdaptersInTransit, 1)
}

func (c *checker) checkClasses() {
	for i, k := range c.doc.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		c.unique(c.classes, at+".name", k.Name)
		c.atLeast(at+".priority", k.Priority, 0)
		c.atLeast(at+".first_token_ms", k.FirstTokenMS, 0)
		c.atLeast(at+".per_token_ms", k.PerTokenMS, 0)
		c.atLeast(at+".total_ms", k.TotalMS, 0)
		c.atLeast(at+".expected_tokens", k.ExpectedTokens, 0)
		if k.FirstTokenMS == 0 && k.TotalMS == 0 {
			c.AddFinding(at, "class %q has no target: set first_token_ms or total_ms", k.Name)
		}
	}
}

func (c *checker) checkCallers() {
	callers, keys := names{}, names{}
	for i, k := range c.doc.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		c.unique(callers, at+".name", k.Name)
		c.atLeast(at+".share", k.Share, 1)
		c.digest(keys, at+".key_sha256", k.KeySHA256)
		if k.FailureDomain != "" && !c.domains[k.FailureDomain] {
			c.AddFinding(at+".failure_domain", "no engine or upstream is in failure domain %q", k.FailureDomain)
		}
	}
}

func (c *checker) checkPools() {
	engines, urls := names{}, names{}
	for i, p := range c.doc.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.unique(c.pools, at+".name", p.Name)
		c.atLeast(at+".order_horizon_s", p.OrderHorizonS, 1)
		if len(p.Engines) == 0 {
			c.AddFinding(at+".engines", "pool %q has no engines", p.Name)
		}
		if len(p.Engines) > maxPoolEngines {
			c.AddFinding(at+".engines", "pool %q has %d engines; split pools above %d",
				p.Name, len(p.Engines), maxPoolEngines)
		}
		for j, e := range p.Engines {
			c.checkEngine(fmt.Sprintf("%s.engines[%d]", at, j), e, engines, urls)
		}
	}
}

func (c *checker) checkEngine(at string, e Engine, engines, urls names) {
	c.unique(engines, at+".name", e.Name)
	c.CheckURL(at+".url", e.URL)
	// Two entries for one engine would count its memory twice.
	c.first(urls, at+".url", e.URL)
	c.CheckName(at+".failure_domain", e.FailureDomain)
	c.size(at+".memory_mb", e.MemoryMB)
	c.atLeast(at+".accelerators", e.Accelerators, 1)
	c.atLeast(at+".max_seqs", e.MaxSeqs, 1)
	c.atLeast(at+".kv_reserve_mb", e.KVReserveMB, 0)
	if e.KVReserveMB > 0 && e.KVReserveMB >= e.MemoryMB {
		c.AddFinding(at+".kv_reserve_mb", "leaves nothing of memory_mb %d", e.MemoryMB)
	}
}

func (c *checker) checkServices() {
	services, urls := names{}, names{}
	for i, s := range c.doc.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.unique(services, at+".name", s.Name)
		c.reference(c.classes, at+".class", "class", s.Class)
		c.atLeast(at+".timeout_ms", s.TimeoutMS, 1)
		if s.RequireKey && !s.NotRepeatable {
			c.AddFinding(at+".require_key", "applies only to a service that is not_repeatable")
		}
		if len(s.Upstreams) == 0 {
			c.AddFinding(at+".upstreams", "service %q has no upstreams", s.Name)
		}
		upstreams := names{}
		for j, u := range s.Upstreams {
			c.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", at, j), u, upstreams, urls)
		}
	}
}

// An upstream may serve several services, but its name must mean the same address in all of them.
func (c *checker) checkUpstream(at string, u Upstream, upstreams, urls names) {
	c.unique(upstreams, at+".name", u.Name)
	c.CheckURL(at+".url", u.URL)
	c.CheckName(at+".failure_domain", u.FailureDomain)
	if known, ok := urls[u.Name]; ok && known != u.URL {
		c.AddFinding(at+".url", "upstream %q has another url in another service: %s", u.Name, known)
	}
	urls[u.Name] = u.URL
	if _, ok := c.doc.engine(u.Name); ok {
		c.AddFinding(at+".name", "%q is the name of an engine", u.Name)
	}
}

func (c *checker) checkModels() {
	for i, m := range c.doc.Models {
		at := fmt.Sprintf("models[%d]", i)
		c.unique(c.models, at+".name", m.Name)
		c.CheckName(at+".version", m.Version)
		c.reference(c.pools, at+".pool", "pool", m.Pool)
		c.reference(c.classes, at+".class", "class", m.Class)
		c.size(at+".memory_mb", m.MemoryMB)
		c.atLeast(at+".min_copies", m.MinCopies, 1)
	}
}

// Adapters share the names of models, because callers address both in the same field.
func (c *checker) checkAdapters() {
	all := names{}
	for name, at := range c.models {
		all[name] = at
	}
	for i, a := range c.doc.Adapters {
		at := fmt.Sprintf("adapters[%d]", i)
		c.unique(all, at+".name", a.Name)
		c.CheckName(at+".version", a.Version)
		c.reference(c.models, at+".model", "model", a.Model)
		if a.Class != "" {
			c.reference(c.classes, at+".class", "class", a.Class)
		}
		c.size(at+".memory_mb", a.MemoryMB)
		c.atLeast(at+".min_copies", a.MinCopies, 1)
	}
}

func (c *checker) atLeast(path string, v, least int) {
	c.CheckMin(path, int64(v), int64(least))
}

func (c *checker) size(path string, mb int) {
	c.atLeast(path, mb, 1)
	if mb > maxMemoryMB {
		c.AddFinding(path, "must be at most %d, is %d", maxMemoryMB, mb)
	}
}

func (c *checker) unique(known names, path, v string) {
	c.CheckName(path, v)
	c.first(known, path, v)
}

func (c *checker) first(known names, path, v string) {
	if v == "" {
		return
	}
	if other, ok := known[v]; ok {
		c.AddFinding(path, "%q is already used at line %d (%s)", v, c.Line(other), other)
		return
	}
	known[v] = path
}

func (c *checker) reference(known names, path, kind, v string) {
	if v == "" {
		c.AddFinding(path, "is required")
	} else if _, ok := known[v]; !ok {
		c.AddFinding(path, "%s %q does not exist", kind, v)
	}
}

func (c *checker) digest(known names, path, v string) {
	if !c.CheckDigest(path, v) {
		return
	}
	if other, ok := known[v]; ok {
		c.AddFinding(path, "is the same key as at line %d (%s)", c.Line(other), other)
	}
	known[v] = path
}

func (d *Doc) domains() map[string]bool {
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

func (d *Doc) engine(name string) (Engine, bool) {
	for _, p := range d.Pools {
		for _, e := range p.Engines {
			if e.Name == name {
				return e, true
			}
		}
	}
	return Engine{}, false
}
