package serve

import (
	"context"
	"sync"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pmgr"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

type (
	// pools holds the pool manager of this host for every pool of the document.
	pools struct {
		newManager func(pool string) *pmgr.Manager

		mu      sync.Mutex
		byName  map[string]*managedPool
		wg      sync.WaitGroup
		stopped bool // set by releaseLeases: managers created later do not run
	}

	// managedPool is a pool manager and the function that ends it.
	managedPool struct {
		manager *pmgr.Manager
		cancel  context.CancelFunc
	}
)

// apply starts managers for the pools that are new in the document, configures all managers, and returns the names of
// the new pools.
func (p *pools) apply(ctx context.Context, doc *envdoc.Doc) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = make(map[string]*managedPool)
	}
	var added []string
	for _, pool := range doc.Pools {
		if p.byName[pool.Name] == nil {
			p.byName[pool.Name] = p.start(ctx, pool.Name)
			added = append(added, pool.Name)
		}
		m := p.byName[pool.Name].manager
		m.Loop.Post(func() { m.Configure(doc) })
	}
	return added
}

// removeMissing ends the managers of pools that the document does not contain.
func (p *pools) removeMissing(doc *envdoc.Doc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inDocument := make(map[string]bool, len(doc.Pools))
	for _, pool := range doc.Pools {
		inDocument[pool.Name] = true
	}
	for name, pool := range p.byName {
		if !inDocument[name] {
			pool.cancel()
			delete(p.byName, name)
		}
	}
}

// start creates the manager of a pool and runs it, unless the host is shutting down; the caller holds mu.
func (p *pools) start(ctx context.Context, name string) *managedPool {
	ctx, cancel := context.WithCancel(ctx)
	m := p.newManager(name)
	m.Init()
	if !p.stopped {
		p.wg.Go(func() { m.Run(ctx) })
	}
	return &managedPool{manager: m, cancel: cancel}
}

// get returns the manager of a pool, or nil.
func (p *pools) get(name string) *pmgr.Manager {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byName[name]; pool != nil {
		return pool.manager
	}
	return nil
}

// all returns the managers of all pools.
func (p *pools) all() []*pmgr.Manager {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allLocked()
}

func (p *pools) allLocked() []*pmgr.Manager {
	out := make([]*pmgr.Manager, 0, len(p.byName))
	for _, pool := range p.byName {
		out = append(out, pool.manager)
	}
	return out
}

// waiting returns the names of pools for which calls wait at the local runner although this host does not own the pool.
func (p *pools) waiting(loop *ctrl.Loop) []string {
	var names []string
	managers := p.all()
	loop.Call(func() {
		for _, m := range managers {
			if calls, _ := m.Runner().Counts(); calls > 0 && !m.Owned() {
				names = append(names, m.Pool)
			}
		}
	})
	return names
}

// ownedRunner returns the runner of a pool if this host owns the pool, and nil otherwise.
func (p *pools) ownedRunner(name string) *ticket.Runner {
	m := p.get(name)
	if m == nil || !m.Owned() {
		return nil
	}
	return m.Runner()
}

// runner returns the local runner of a pool, whether or not this host owns the pool. For a pool that was removed while
// a call was on its way, it returns an empty runner, which rejects the call as not executed.
func (p *pools) runner(name string) *ticket.Runner {
	if m := p.get(name); m != nil {
		return m.Runner()
	}
	m := p.newManager(name)
	m.Init()
	return m.Runner()
}

// wait returns once all managers have ended, after the context given to apply has ended.
func (p *pools) wait() { p.wg.Wait() }

// releaseLeases hands the leases of all pools over to other hosts. Pools that are added later get a runner, but this
// host does not campaign for their leases.
func (p *pools) releaseLeases(ctx context.Context) {
	p.mu.Lock()
	p.stopped = true
	managers := p.allLocked()
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range managers {
		wg.Go(func() { m.Release(ctx) })
	}
	wg.Wait()
}

// observeOwner passes a change of owner to the manager of the pool.
func (p *pools) observeOwner(o wire.Owner) {
	if m := p.get(o.Pool); m != nil {
		m.ObserveOwner(o)
	}
}
